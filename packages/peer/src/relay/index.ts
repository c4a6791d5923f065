/** HTTP relay of requests between entry VMs. */
export {EXPECT_ABOVE_BYTES, RelayClient, type RelayAddress} from './client.js';
export {RelayServer, type RelayServerOptions} from './server.js';
export type {RelayHandler, RelayRequest, RelayResult} from './types.js';
