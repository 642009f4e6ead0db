import {
  MemberState,
  type Member,
  type MemberStatus,
} from '@greengagecross/common';

/**
 * Of two states of the same version, the one of higher precedence is kept.
 *
 * State: joining, live, leaving or suspect (a daemon that could not be
 * reached), with addresses; ordered by versions. Status: what changes with
 * every heartbeat, such as loads; ordered by a sequence.
 */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  [MemberState.JOINING]: 0,
  [MemberState.LIVE]: 1,
  [MemberState.LEAVING]: 2,
  [MemberState.SUSPECT]: 3,
};

/** Returns whether an update of a member's state replaces the current state. */
export function isNewerState(update: Member, current: Member): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  if (update.stateVersion !== current.stateVersion) {
    return update.stateVersion > current.stateVersion;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[current.state];
}

/**
 * Returns whether an update of a member's status replaces the current status;
 * false for an update of another incarnation.
 */
export function isNewerStatus(update: MemberStatus, current: Member): boolean {
  if (update.incarnation !== current.incarnation) return false;
  return update.sequence > current.sequence;
}

/** Makes the key by which two daemons compare the states of a member. */
export function makeStateKey(member: Member): string {
  const {id, incarnation, stateVersion, state} = member;
  return `${id} ${incarnation} ${stateVersion} ${state}`;
}

/** Extracts the status of a member; a status is returned as a copy. */
export function toStatus(member: MemberStatus & Partial<Member>): MemberStatus {
  const {
    state: unusedState,
    stateVersion: unusedVersion,
    region: unusedRegion,
    availabilityZone: unusedZone,
    callerAddress: unusedCaller,
    controlAddress: unusedControl,
    ...status
  } = member;
  return status;
}
