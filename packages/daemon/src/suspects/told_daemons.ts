import {MemberState, type Address} from '@greengagecross/common';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';

/** A daemon that has to know what is held against requests. */
export interface ToldDaemon {
  readonly id: string;
  readonly controlAddress: Address;
  /** Whether it is thought to answer; one that is not may still serve. */
  readonly isHeard: boolean;
}

/**
 * Lists whom to tell of suspects: whoever may serve a caller.
 *
 * A daemon suspected by mistake still serves, and one that just started does
 * not know every member yet; neither may miss a condemned request.
 */
export class ToldDaemons {
  constructor(
    private readonly selfId: string,
    private readonly members: MemberService,
    private readonly hosts: HostFollower,
  ) {}

  /** Lists every other daemon that heartbeats or the host list know of. */
  list(): ToldDaemon[] {
    const told = new Map<string, ToldDaemon>();
    for (const {id, host, controlPort} of this.hosts.listEntryHosts()) {
      const controlAddress = {host, port: controlPort};
      told.set(id, {id, controlAddress, isHeard: false});
    }
    for (const {id, controlAddress, state} of this.members.listRemembered()) {
      const isHeard = state !== MemberState.SUSPECT;
      told.set(id, {id, controlAddress, isHeard});
    }
    told.delete(this.selfId);
    return [...told.values()];
  }
}
