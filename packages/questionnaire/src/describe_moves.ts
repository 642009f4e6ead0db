import type {BackendServer} from '@greengagecross/common';
import type {Answers} from './answers.js';

/** Maximum of server ids in a sentence; further servers are only counted. */
const MAX_LISTED_IDS = 5;

/** The servers of one service. */
interface ServiceServers {
  readonly name: string;
  readonly servers: readonly BackendServer[];
  /** True for model engines, which cache the contexts of chats. */
  readonly isEngine: boolean;
}

/**
 * Describes which chats move and which servers get more or less load.
 *
 * A chat whose request carries a ticket returns to the engine named in the
 * ticket, where the chat's context is probably still cached.
 */
export function describeMoves(before: Answers, after: Answers): string[] {
  const groupsBefore = new Map(
    listGroups(before).map(group => [group.name, group]),
  );
  return listGroups(after).flatMap(group => {
    const groupBefore = groupsBefore.get(group.name);
    return groupBefore === undefined ? [] : describeGroup(groupBefore, group);
  });
}

function listGroups(answers: Answers): ServiceServers[] {
  const {engines, plainServices} = answers;
  return [
    ...engines.map(({name, servers}) => ({name, servers, isEngine: true})),
    ...plainServices.map(({name, servers}) => ({
      name,
      servers,
      isEngine: false,
    })),
  ];
}

function describeGroup(
  before: ServiceServers,
  after: ServiceServers,
): string[] {
  const oldIds = new Set(before.servers.map(server => server.id));
  const newIds = new Set(after.servers.map(server => server.id));
  const added = [...newIds].filter(id => !oldIds.has(id));
  const removed = [...oldIds].filter(id => !newIds.has(id));
  const serversBefore = new Map(
    before.servers.map(server => [server.id, server]),
  );
  const readdressed = after.servers
    .filter(server => hasNewAddress(serversBefore.get(server.id), server))
    .map(server => server.id);
  const {name, isEngine} = after;
  const warning = isEngine
    ? ' Returning chats find no warm context at the new address.'
    : '';
  return [
    ...describeLoads(before, after, added, removed),
    ...(isEngine ? describeChats(before, after, added, removed) : []),
    ...(readdressed.length > 0
      ? [
          `${name}: requests now go to the new address of ${formatIds(readdressed)}; requests running at the old address finish.${warning}`,
        ]
      : []),
  ];
}

function describeLoads(
  before: ServiceServers,
  after: ServiceServers,
  added: readonly string[],
  removed: readonly string[],
): string[] {
  if (added.length + removed.length === 0) return [];
  const countBefore = before.servers.length;
  const countAfter = after.servers.length;
  const changePercent = (countBefore / countAfter - 1) * 100;
  const direction = changePercent < 0 ? 'less' : 'more';
  const otherCount = countAfter - added.length;
  const othersText =
    countBefore === countAfter || otherCount === 0
      ? ''
      : ` each of the ${otherCount} others carries about ${Math.abs(changePercent).toFixed(1)} % ${direction}.`;
  const addedText =
    added.length > 0
      ? ` about ${formatShare(added.length, countAfter)} of new requests go to ${formatIds(added)};`
      : '';
  const removedText =
    removed.length > 0
      ? ` no new requests go to ${formatIds(removed)}, requests running there finish;`
      : '';
  const text = `${addedText}${removedText}${othersText}`
    .trim()
    .replace(/;$/, '.');
  return [`${after.name}: ${countBefore} -> ${countAfter} servers; ${text}`];
}

function describeChats(
  before: ServiceServers,
  after: ServiceServers,
  added: readonly string[],
  removed: readonly string[],
): string[] {
  const {name} = after;
  const movingShare = formatShare(removed.length, before.servers.length);
  const movingSentence = `${name}: about ${movingShare} of returning chats, those of ${formatIds(removed)}, move and their contexts are computed again.`;
  const stayingSentence = `${name}: returning chats stay on their warm engines; about ${formatShare(added.length, after.servers.length)} of the chats whose requests carry no ticket move.`;
  return [
    ...(removed.length > 0 ? [movingSentence] : []),
    ...(added.length > 0 ? [stayingSentence] : []),
  ];
}

function hasNewAddress(
  before: BackendServer | undefined,
  after: BackendServer,
): boolean {
  if (before === undefined) return false;
  return before.host !== after.host || before.port !== after.port;
}

function formatShare(part: number, total: number): string {
  return `${((part / total) * 100).toFixed(1)} %`;
}

function formatIds(ids: readonly string[]): string {
  const listed = ids.slice(0, MAX_LISTED_IDS).join(', ');
  const unlistedCount = ids.length - MAX_LISTED_IDS;
  return unlistedCount > 0 ? `${listed} and ${unlistedCount} more` : listed;
}
