import {readFileSync} from 'node:fs';
import {Schema} from 'effect';
import {AddressSchema, decodeJson, toError} from '@greengagecross/common';
import {ClientError} from './client_error.js';
import {ExitCode} from './exit_code.js';

/** Content of the client's settings file. */
export const ClientSettingsSchema = Schema.Struct({
  /** Operator name that accepted changes are recorded under. */
  operator: Schema.NonEmptyString,
  platform: AddressSchema,
  /** File with the operator key on its first line. */
  keyFile: Schema.NonEmptyString,
  /**
   * Control addresses of daemons that are asked for the daemons of the fleet
   * if the platform's host list does not reply.
   */
  daemons: Schema.optionalKey(Schema.Array(AddressSchema)),
});

/** Decoded form of {@link ClientSettingsSchema}. */
export type ClientSettings = typeof ClientSettingsSchema.Type;

/** Reads a file that the operator named; throws a ClientError on failure. */
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

/**
 * Reads and validates the settings file.
 *
 * @throws ClientError if the file cannot be read, and ValidationError if it is
 *     invalid.
 */
export function readClientSettings(file: string): ClientSettings {
  return decodeJson(ClientSettingsSchema, readInputFile(file), file);
}
