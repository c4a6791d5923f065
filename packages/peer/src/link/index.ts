/** Control link between entry VMs. */
export {PeerMesh} from './peer-mesh.js';
export type {
  LinkEvent,
  PeerAddress,
  PeerEnvelope,
  PeerMeshOptions,
  PeerView,
} from './types.js';
