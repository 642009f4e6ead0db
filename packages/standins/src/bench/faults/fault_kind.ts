/** Faults that the bench can inject. */
export enum FaultKind {
  DAEMON_KILLED = 'daemon_killed',
  DAEMON_FROZEN = 'daemon_frozen',
  ENGINE_KILLED = 'engine_killed',
  ENGINE_FROZEN = 'engine_frozen',
  ENGINE_SILENT = 'engine_silent',
  WORKER_KILLED = 'worker_killed',
  WORKER_FROZEN = 'worker_frozen',
  WORKER_REPLIES_LOST = 'worker_replies_lost',
  WORKER_LEAVING = 'worker_leaving',
  PLATFORM_DOWN = 'platform_down',
  PLATFORM_SLOW = 'platform_slow',
  PLATFORM_REPLIES_LOST = 'platform_replies_lost',
  HOST_LIST_LAGGING = 'host_list_lagging',
}
