/** Control link between entry VMs. */
export {};
