import type {Effect} from 'effect';
import {HostListSchema, type HostList} from './host.js';
import {HostDirectory} from './host_directory.js';
import type {PlatformCaller} from './platform_caller.js';
import type {PlatformError} from './platform_error.js';

/** The host list over HTTP. */
export class HttpHostDirectory extends HostDirectory {
  constructor(private readonly caller: PlatformCaller) {
    super();
  }

  override fetch(): Effect.Effect<HostList, PlatformError> {
    return this.caller.ask('GET', '/v1/hosts', undefined, HostListSchema);
  }
}
