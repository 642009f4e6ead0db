import {MemberState, type Address} from '@greengagecross/common';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';

/** A daemon that is sent the states of suspects (requests). */
export interface SuspectRecipient {
  readonly id: string;
  readonly controlAddress: Address;
  /**
   * Whether the daemon's heartbeats are received in time; false also if it is
   * known from the host list only. A daemon without current heartbeats may
   * still serve callers.
   */
  readonly isHeartbeatCurrent: boolean;
}

/**
 * Lists the daemons that are sent the states of suspects, which are requests
 * that were in flight when their backend server crashed. These are all daemons
 * that may serve callers.
 *
 * A daemon whose failure is wrongly suspected still serves callers, and a
 * daemon that just started does not know every member yet. Neither case may
 * hide a condemned request from a daemon, so the list includes the
 * host list and the members suspected to have failed (MemberState.SUSPECT).
 */
export class SuspectRecipients {
  constructor(
    private readonly selfId: string,
    private readonly members: MemberService,
    private readonly hosts: HostFollower,
  ) {}

  /** Lists every other daemon known from heartbeats or the host list. */
  list(): SuspectRecipient[] {
    const recipients = new Map<string, SuspectRecipient>();
    for (const {id, host, controlPort} of this.hosts.listEntryHosts()) {
      const controlAddress = {host, port: controlPort};
      recipients.set(id, {id, controlAddress, isHeartbeatCurrent: false});
    }
    for (const {id, controlAddress, state} of this.members.listAllOthers()) {
      const isHeartbeatCurrent = state !== MemberState.SUSPECT;
      recipients.set(id, {id, controlAddress, isHeartbeatCurrent});
    }
    recipients.delete(this.selfId);
    return [...recipients.values()];
  }
}
