/** Names of the JSON-RPC methods that daemons call on each other. */
export enum PeerMethod {
  HEARTBEAT = 'member.heartbeat',
  PROBE = 'member.probe',
  ACQUIRE_SLOT = 'slot.acquire',
  RELEASE_SLOT = 'slot.release',
  FETCH_REVISION = 'configuration.revision',
  FETCH_PARTS = 'configuration.parts',
  RENEW_SLOTS = 'slot.renew',
  BACKEND_LEAVING = 'backend.leaving',
  SEND_SUSPECTS = 'suspects.tell',
  FETCH_SUSPECTS = 'suspects.fetch',
  ACQUIRE_TRIAL = 'trial.acquire',
  RELEASE_TRIAL = 'trial.release',
  /** Used only by the package router, which defines the messages as well. */
  FETCH_FLEET_STATE = 'state.fetch',
  /** As above. */
  FETCH_CONFIGURATION = 'configuration.fetch',
}
