import type {BackendServer} from '@greengagecross/common';
import type {Answers} from './answers.js';

const MAX_NAMED = 5;

/** Servers of one service, which of them keep chats. */
interface ServerGroup {
  readonly name: string;
  readonly servers: readonly BackendServer[];
  readonly isEngine: boolean;
}

/** Describes which chats move and which servers gain or lose load. */
export function describeMoves(before: Answers, after: Answers): string[] {
  const old = new Map(listGroups(before).map(group => [group.name, group]));
  return listGroups(after).flatMap(group => {
    const was = old.get(group.name);
    return was === undefined ? [] : describeGroup(was, group);
  });
}

function listGroups(answers: Answers): ServerGroup[] {
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

function describeGroup(was: ServerGroup, now: ServerGroup): string[] {
  const oldIds = new Set(was.servers.map(server => server.id));
  const newIds = new Set(now.servers.map(server => server.id));
  const added = [...newIds].filter(id => !oldIds.has(id));
  const removed = [...oldIds].filter(id => !newIds.has(id));
  const places = new Map(was.servers.map(server => [server.id, server]));
  const moved = now.servers
    .filter(server => isElsewhere(places.get(server.id), server))
    .map(server => server.id);
  const {name, isEngine} = now;
  const cold = isEngine ? ' Returning chats find no warm context there.' : '';
  return [
    ...describeLoads(was, now, added, removed),
    ...(isEngine ? describeChats(was, now, added, removed) : []),
    ...(moved.length > 0
      ? [
          `${name}: requests now go to the new place of ${formatIds(moved)}; what runs at the old one finishes.${cold}`,
        ]
      : []),
  ];
}

function describeLoads(
  was: ServerGroup,
  now: ServerGroup,
  added: readonly string[],
  removed: readonly string[],
): string[] {
  if (added.length + removed.length === 0) return [];
  const before = was.servers.length;
  const after = now.servers.length;
  const change = (before / after - 1) * 100;
  const direction = change < 0 ? 'less' : 'more';
  const stayed = after - added.length;
  const others =
    before === after || stayed === 0
      ? ''
      : ` each of the ${stayed} others carries about ${Math.abs(change).toFixed(1)} % ${direction}.`;
  const gains =
    added.length > 0
      ? ` about ${formatShare(added.length, after)} of new work goes to ${formatIds(added)};`
      : '';
  const losses =
    removed.length > 0
      ? ` no new work goes to ${formatIds(removed)}, what runs there now finishes;`
      : '';
  const text = `${gains}${losses}${others}`.trim().replace(/;$/, '.');
  return [`${now.name}: ${before} -> ${after} servers; ${text}`];
}

function describeChats(
  was: ServerGroup,
  now: ServerGroup,
  added: readonly string[],
  removed: readonly string[],
): string[] {
  const {name} = now;
  const leaving = formatShare(removed.length, was.servers.length);
  const moving = `${name}: about ${leaving} of returning chats, those of ${formatIds(removed)}, move and are read once more.`;
  const staying = `${name}: returning chats stay on their warm engines; about ${formatShare(added.length, now.servers.length)} of those without a ticket move.`;
  return [
    ...(removed.length > 0 ? [moving] : []),
    ...(added.length > 0 ? [staying] : []),
  ];
}

function isElsewhere(
  was: BackendServer | undefined,
  now: BackendServer,
): boolean {
  if (was === undefined) return false;
  return was.host !== now.host || was.port !== now.port;
}

function formatShare(part: number, whole: number): string {
  return `${((part / whole) * 100).toFixed(1)} %`;
}

function formatIds(ids: readonly string[]): string {
  const shown = ids.slice(0, MAX_NAMED).join(', ');
  const more = ids.length - MAX_NAMED;
  return more > 0 ? `${shown} and ${more} more` : shown;
}
