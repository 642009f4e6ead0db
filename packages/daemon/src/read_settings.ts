import {readFileSync} from 'node:fs';
import {
  DaemonSettingsSchema,
  decodeJson,
  FleetKeysSchema,
  toError,
  ValidationError,
  type DaemonSettings,
  type FleetKeys,
} from '@greengagecross/common';

/** A daemon's validated settings and the keys of the named keys file. */
export interface StartSettings {
  readonly settings: DaemonSettings;
  readonly keys: FleetKeys;
}

/**
 * Reads the settings file and the keys file.
 *
 * @throws ValidationError listing every problem of the first invalid file.
 */
export function readSettings(file: string): StartSettings {
  const settings = decodeJson(DaemonSettingsSchema, readText(file), file);
  const keys = decodeJson(
    FleetKeysSchema,
    readText(settings.keysFile),
    settings.keysFile,
  );
  return {settings, keys};
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (thrown) {
    const found = toError(thrown).message;
    throw new ValidationError(file, [
      {path: '(document)', expected: 'a readable file', found},
    ]);
  }
}
