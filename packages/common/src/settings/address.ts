import {Schema} from 'effect';

/** Where to connect to or listen on, by IP number. */
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

/** Parses `host:port`; gives undefined for anything else. */
export function parseAddress(text: string): Address | undefined {
  const match = /^(.+):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  return {host: match[1] ?? '', port: Number(match[2])};
}
