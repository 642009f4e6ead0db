import {Effect} from 'effect';
import {toError} from '@greengagecross/common';
import type {HttpReply} from '@greengagecross/http';
import {decodeHostList} from './decode_host_list.js';
import type {HostList} from './host.js';
import {HostListSource} from './host_directory.js';
import type {PlatformClient} from './platform_client.js';
import {PlatformError} from './platform_error.js';
import {PlatformFailure} from './platform_failure.js';

const HOSTS_PATH = '/v1/hosts';
const NOT_MODIFIED = 304;

/** The last list received; the ETag is undefined if the reply had none. */
interface CachedHostList {
  readonly list: HostList;
  readonly etag: string | undefined;
}

/**
 * Fetches the host list over the platform's HTTP API.
 *
 * If the list is unchanged (status 304), a fetch returns the cached list.
 */
export class HttpHostListSource extends HostListSource {
  private cached: CachedHostList | undefined;

  constructor(private readonly client: PlatformClient) {
    super();
  }

  override isFetchConditional(): boolean {
    return this.cached?.etag !== undefined;
  }

  override fetch(): Effect.Effect<HostList, PlatformError> {
    return Effect.suspend(() => {
      const {cached} = this;
      const headers =
        cached?.etag === undefined ? {} : {'if-none-match': cached.etag};
      return this.client.send('GET', HOSTS_PATH, undefined, headers).pipe(
        Effect.flatMap(reply => {
          const isUnchanged =
            reply.status === NOT_MODIFIED && cached !== undefined;
          return isUnchanged ? Effect.succeed(cached.list) : this.decode(reply);
        }),
      );
    });
  }

  private decode(reply: HttpReply): Effect.Effect<HostList, PlatformError> {
    return Effect.try({
      try: () => {
        const text = reply.body.toString();
        const list = decodeHostList(text, HOSTS_PATH);
        this.cached = {list, etag: reply.headers.etag};
        return list;
      },
      catch: thrown =>
        new PlatformError(
          PlatformFailure.UNCERTAIN,
          `GET ${HOSTS_PATH}`,
          toError(thrown),
        ),
    });
  }
}
