/** Where a newer configuration was asked for. */
export enum ConfigurationSource {
  PEER = 'peer',
  /** A peer that sends the configuration only with its whole state. */
  EARLIER_PEER = 'earlier-peer',
  STORE = 'store',
}
