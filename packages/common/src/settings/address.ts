import {Schema} from 'effect';

const MIN_PORT = 1;
const MAX_PORT = 65_535;

/** IP address and port to connect to or to listen on. */
export const AddressSchema = Schema.Struct({
  host: Schema.NonEmptyString,
  port: Schema.Int.check(
    Schema.isBetween({minimum: MIN_PORT, maximum: MAX_PORT}),
  ),
});

/** Decoded form of {@link AddressSchema}. */
export type Address = typeof AddressSchema.Type;

/** Formats an address as `host:port`. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}

/**
 * Parses `host:port`; undefined if the text has another form or the port is not
 * between 1 and 65535.
 */
export function parseAddress(text: string): Address | undefined {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const port = Number(match[2]);
  if (port < MIN_PORT || port > MAX_PORT) return undefined;
  return {host: match[1] ?? '', port};
}
