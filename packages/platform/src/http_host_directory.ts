import {Effect} from 'effect';
import {decodeJson, toError} from '@greengagecross/common';
import type {HttpReply} from '@greengagecross/http';
import {HostListSchema, type HostList} from './host.js';
import {HostDirectory} from './host_directory.js';
import type {PlatformCaller} from './platform_caller.js';
import {PlatformError} from './platform_error.js';
import {PlatformFailure} from './platform_failure.js';

const PATH = '/v1/hosts';
const NOT_MODIFIED = 304;

/** A list and the tag by which the platform knows it. */
interface TaggedList {
  readonly list: HostList;
  readonly tag: string | undefined;
}

/** The host list over HTTP; an unchanged one is not sent again. */
export class HttpHostDirectory extends HostDirectory {
  private last: TaggedList | undefined;

  constructor(private readonly caller: PlatformCaller) {
    super();
  }

  override isConditional(): boolean {
    return this.last?.tag !== undefined;
  }

  override fetch(): Effect.Effect<HostList, PlatformError> {
    return Effect.suspend(() => {
      const {last} = this;
      const headers =
        last?.tag === undefined ? {} : {'if-none-match': last.tag};
      return this.caller.send('GET', PATH, undefined, headers).pipe(
        Effect.flatMap(reply => {
          const isKept = reply.status === NOT_MODIFIED && last !== undefined;
          return isKept ? Effect.succeed(last.list) : this.decode(reply);
        }),
      );
    });
  }

  private decode(reply: HttpReply): Effect.Effect<HostList, PlatformError> {
    return Effect.try({
      try: () => {
        const text = reply.body.toString();
        const list = decodeJson(HostListSchema, text, PATH);
        this.last = {list, tag: reply.headers.etag};
        return list;
      },
      catch: thrown =>
        new PlatformError(
          PlatformFailure.UNCERTAIN,
          `GET ${PATH}`,
          toError(thrown),
        ),
    });
  }
}
