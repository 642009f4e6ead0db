import {readFileSync} from 'node:fs';
import {Schema} from 'effect';
import {AddressSchema, decodeJson, toError} from '@greengagecross/common';
import {ClientError} from './client_error.js';
import {ExitCode} from './exit_code.js';

/** What the client's settings file holds. */
export const ClientSettingsSchema = Schema.Struct({
  /** Name that changes are recorded under. */
  operator: Schema.NonEmptyString,
  platform: AddressSchema,
  /** File with the operator key on its first line. */
  keyFile: Schema.NonEmptyString,
  /** Control addresses of daemons, asked when the host list does not answer. */
  daemons: Schema.optionalKey(Schema.Array(AddressSchema)),
});

/** Decoded form of {@link ClientSettingsSchema}. */
export type ClientSettings = typeof ClientSettingsSchema.Type;

/** Reads a file named on the command line. */
export function readInputFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (thrown) {
    const cause = toError(thrown);
    throw new ClientError(
      ExitCode.BAD_INPUT,
      `${file} cannot be read`,
      'Name a file that exists and that you may read.',
      cause,
    );
  }
}

/** Reads and checks the client's settings file. */
export function readClientSettings(file: string): ClientSettings {
  return decodeJson(ClientSettingsSchema, readInputFile(file), file);
}
