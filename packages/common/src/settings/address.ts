import {Schema} from 'effect';

/** IP address and port to connect to or to listen on. */
export const AddressSchema = Schema.Struct({
  host: Schema.NonEmptyString,
  port: Schema.Int.check(Schema.isBetween({minimum: 1, maximum: 65535})),
});

/** Decoded form of {@link AddressSchema}. */
export type Address = typeof AddressSchema.Type;

/** Formats an address as `host:port`. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}

/**
 * Parses `host:port`; undefined if the text has another form. The range of the
 * port is not checked.
 */
export function parseAddress(text: string): Address | undefined {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  return {host: match[1] ?? '', port: Number(match[2])};
}
