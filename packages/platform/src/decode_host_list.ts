import {
  decodeDocument,
  decodeJson,
  Logger,
  toError,
} from '@greengagecross/common';
import {Schema} from 'effect';
import {HostSchema, type Host, type HostList} from './host.js';

const ListSchema = Schema.Struct({
  version: Schema.Int,
  hosts: Schema.Array(Schema.Unknown),
});
const logger = new Logger('hosts');

/**
 * Decodes the platform's host list. An invalid item is logged and left out, so
 * that it does not keep daemons from the rest of the list.
 *
 * @throws ValidationError if the list itself is invalid
 */
export function decodeHostList(text: string, documentName: string): HostList {
  const {version, hosts} = decodeJson(ListSchema, text, documentName);
  return {version, hosts: hosts.flatMap(host => decodeHost(host) ?? [])};
}

function decodeHost(item: unknown): Host | undefined {
  try {
    return decodeDocument(HostSchema, item, 'host list item');
  } catch (thrown) {
    logger.log('Invalid item of the host list; ignoring it.', {
      cause: toError(thrown).message,
    });
    return undefined;
  }
}
