/** How an attempt to get a newer configuration ended. */
export enum TransferOutcome {
  /** A newer configuration was received. */
  RECEIVED = 'received',
  /** The peer referred to others. */
  BUSY = 'busy',
  /** Nothing newer was received. */
  UNCHANGED = 'unchanged',
  FAILED = 'failed',
}
