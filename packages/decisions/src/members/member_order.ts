import {
  MemberState,
  type Member,
  type MemberStatus,
} from '@greengagecross/common';

/** Which state holds where two are told of the same version. */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  [MemberState.JOINING]: 0,
  [MemberState.LIVE]: 1,
  [MemberState.LEAVING]: 2,
  [MemberState.SUSPECT]: 3,
};

/** Tells whether news of a member's state goes before what is known. */
export function isNewerState(news: Member, known: Member): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  if (news.stateVersion !== known.stateVersion) {
    return news.stateVersion > known.stateVersion;
  }
  return STATE_RANK[news.state] > STATE_RANK[known.state];
}

/** Tells whether news of a member's status goes before what is known. */
export function isNewerStatus(news: MemberStatus, known: Member): boolean {
  if (news.incarnation !== known.incarnation) return false;
  return news.sequence > known.sequence;
}

/** Makes the text by which two daemons compare a member's state. */
export function makeStateKey(member: Member): string {
  const {id, incarnation, stateVersion, state} = member;
  return `${id} ${incarnation} ${stateVersion} ${state}`;
}

/** Takes the fields of a status out of a member. */
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
