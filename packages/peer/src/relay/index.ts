/** HTTP relay of requests between entry VMs. */
export {};
