/** Methods that daemons call on each other over JSON-RPC. */
export enum PeerMethod {
  HEARTBEAT = 'member.heartbeat',
  ACQUIRE_SLOT = 'slot.acquire',
  RELEASE_SLOT = 'slot.release',
  RENEW_SLOTS = 'slot.renew',
}
