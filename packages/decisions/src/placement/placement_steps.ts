import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  PlacementPreference,
  TicketCodec,
  type PlacementRules,
  type Ticket,
} from '@greengagecross/common';
import {CostPlacement} from './cost_placement.js';
import {EngineGroup} from './engine_group.js';
import {computeLoadBound} from './load_bound.js';
import {PlacementCosts} from './placement_costs.js';
import type {PlacementChoice} from './placement_policy.js';

const RULES = {preference: PlacementPreference.REUSE, maxLoadMultiple: 1.5};
const NOW_MS = 1_000_000_000;
const DAY_MS = 86_400_000;
const KEYS = ['the-key-that-signs-now', 'the-key-of-last-week'];
const POLICY = new CostPlacement(
  () =>
    new PlacementCosts({
      serviceMs: 10_000,
      prefillMsPerToken: 0.2,
      transfer: undefined,
    }),
);

/** Fixture of a placement policy, with the loads of its engines. */
interface PlacementWorld extends World {
  group: EngineGroup;
  /** Requests in flight by engine. */
  loads: Map<string, number>;
  bound: number;
  /** Whether the placing daemon owns every engine. */
  isOwn: boolean;
  /** Of one chat, or the first choice of each of several chats. */
  choices: PlacementChoice[];
  sentTicket: string;
  /** Share of chats that were placed on the same engine twice. */
  sameEngineShare: number;
}

function makeGroup(ids: readonly string[]): EngineGroup {
  const engines = ids.map(id => ({id, availabilityZone: `zone of ${id}`}));
  return new EngineGroup('model', RULES, engines);
}

function makeTicket(changes: Partial<Ticket> = {}): Ticket {
  return {
    customer: 'customer',
    chat: 'chat',
    service: 'model',
    engine: 'a',
    contextTokens: 4000,
    warmAtMs: NOW_MS - 1000,
    ...changes,
  };
}

function choose(
  world: PlacementWorld,
  ticket: Ticket | undefined,
  chatKey = 'chat',
  availabilityZone = '',
): PlacementChoice[] {
  return POLICY.choose(
    {chatKey, ticket, availabilityZone, nowMs: NOW_MS},
    world.group,
    {
      count: engine => world.loads.get(engine) ?? 0,
      isOwnedLocally: () => world.isOwn,
      bound: world.bound,
    },
  );
}

function parseTicket(text: string): Ticket | undefined {
  const match =
    /ticket of engine (\w) for (\d+) tokens(?:, earlier engine (\w))?/.exec(
      text,
    );
  if (match === null) return undefined;
  const [, engine = '', tokens, earlier] = match;
  const contextTokens = Number(tokens);
  const earlierEngine = {
    engine: earlier ?? '',
    contextTokens: contextTokens - 500,
  };
  const change = earlier === undefined ? {} : {earlier: earlierEngine};
  return makeTicket({engine, contextTokens, ...change});
}

Given(
  /^engines a, b, c and d with ([\d,]+) requests in flight and a bound of (\d+)$/,
  function (this: PlacementWorld, loads: string, bound: string) {
    const ids = ['a', 'b', 'c', 'd'];
    const counts = loads.split(',').map(Number);
    this.group = makeGroup(ids);
    this.loads = new Map(ids.map((id, index) => [id, counts[index] ?? 0]));
    this.bound = Number(bound);
    this.isOwn = true;
  },
);

Given(
  'every engine is owned by another daemon',
  function (this: PlacementWorld) {
    this.isOwn = false;
  },
);

When(
  /^a chat is placed with (.+)$/,
  function (this: PlacementWorld, ticket: string) {
    this.choices = choose(this, parseTicket(ticket));
  },
);

Then(
  'the placement lists {int} engines to try',
  function (this: PlacementWorld, count: number) {
    assert.equal(this.choices.length, count);
  },
);

Then(
  /^the placement's first engine is (.+) for the reason (\S+)$/,
  function (this: PlacementWorld, expected: string, reason: string) {
    const [first] = this.choices;
    assert.ok(first);
    assert.equal(first.reason, reason);
    if (expected === 'any') return;
    if (expected.startsWith('not ')) {
      assert.notEqual(first.engine, expected.slice('not '.length));
      return;
    }
    assert.ok(expected.split(' or ').includes(first.engine), first.engine);
  },
);

When(
  /^(\d+) new chats are placed by a daemon in the zone of (\w)$/,
  function (this: PlacementWorld, chats: string, zone: string) {
    this.choices = Array.from({length: Number(chats)}, (unused, index) =>
      choose(this, undefined, `chat ${index}`, `zone of ${zone}`),
    ).flatMap(choices => choices.slice(0, 1));
  },
);

Then(
  'at least {int} of the chats are placed on {word}, which is the only engine in that zone',
  function (this: PlacementWorld, count: number, engine: string) {
    const placed = this.choices.filter(choice => choice.engine === engine);
    assert.ok(placed.length >= count, `${placed.length}`);
  },
);

Given(
  'a placement that accepts tickets signed with either of two keys',
  function (this: PlacementWorld) {
    this.group = makeGroup(['a', 'b', 'c', 'd']);
    this.loads = new Map([['a', 3]]);
    this.bound = 4;
    this.isOwn = true;
  },
);

/** Makes the tickets that callers send back, by description. */
const TICKETS_BY_DESCRIPTION: Readonly<Record<string, () => string>> = {
  'the ticket of the last answer': () => sign(KEYS, makeTicket()),
  'a ticket signed with the older key': () => sign(KEYS.slice(1), makeTicket()),
  'a ticket that names no earlier engine': () => sign(KEYS, makeTicket()),
  'a ticket issued a day ago': () =>
    sign(KEYS, makeTicket({warmAtMs: NOW_MS - DAY_MS})),
  'a ticket with one character wrong': () => {
    const text = sign(KEYS, makeTicket());
    return (text.startsWith('e') ? 'f' : 'e') + text.slice(1);
  },
  'a ticket signed with another key': () =>
    sign(['a-key-of-somebody-else'], makeTicket()),
  'a ticket of another customer': () =>
    sign(KEYS, makeTicket({customer: 'another'})),
  'a ticket of another chat': () => sign(KEYS, makeTicket({chat: 'another'})),
  'a ticket without its signature': () =>
    sign(KEYS, makeTicket()).split('.')[0] ?? '',
  'a ticket of 3000 characters': () =>
    sign(KEYS, makeTicket({service: 'x'.repeat(3000)})),
  'text that is no ticket': () => 'not.a.ticket',
  nothing: () => '',
};

function sign(keys: readonly string[], ticket: Ticket): string {
  return new TicketCodec(keys).encode(ticket);
}

When(
  /^the caller sends back (.+)$/,
  function (this: PlacementWorld, ticket: string) {
    const make = TICKETS_BY_DESCRIPTION[ticket];
    assert.ok(make, ticket);
    const decoded = new TicketCodec(KEYS).decode(make(), 'customer', 'chat');
    this.choices = choose(this, decoded);
  },
);

Then(
  /^the placement (uses the ticket|ignores the ticket)$/,
  function (this: PlacementWorld, result: string) {
    const isUsed = result === 'uses the ticket';
    assert.equal(this.choices[0]?.reason, isUsed ? 'ticket-warm' : 'home');
    assert.equal(this.choices[0]?.engine === 'a', isUsed);
  },
);

Given(
  '{int} engines of equal load that chats are placed on',
  function (this: PlacementWorld, count: number) {
    const ids = Array.from({length: count}, (unused, i) => `engine-${i}`);
    this.group = makeGroup(ids);
    this.loads = new Map();
    this.bound = 4;
    this.isOwn = false;
  },
);

When(
  '{int} chats are placed without a ticket, and again under different loads',
  function (this: PlacementWorld, chats: number) {
    const names = Array.from({length: chats}, (unused, i) => `chat ${i}`);
    const findEngine = (chat: string): string | undefined =>
      choose(this, undefined, chat)[0]?.engine;
    const before = names.map(findEngine);
    this.loads = new Map(this.group.ids.map((id, index) => [id, index % 4]));
    const after = names.map(findEngine);
    this.sameEngineShare =
      before.filter((id, i) => id === after[i]).length / chats;
  },
);

Then(
  'at least half of the chats are placed on the same engine again',
  function (this: PlacementWorld) {
    assert.ok(this.sameEngineShare >= 0.5, `${this.sameEngineShare}`);
  },
);

Then(
  'for any load the bound allows every request and exceeds the load multiple of the mean by less than one request',
  function () {
    const rules = fc.record({
      preference: fc.constantFrom(...Object.values(PlacementPreference)),
      maxLoadMultiple: fc.double({min: 1.05, max: 10, noNaN: true}),
    });
    const check = (total: number, engines: number, r: PlacementRules): void => {
      const bound = computeLoadBound(total, engines, r);
      const allowed = (r.maxLoadMultiple * (total + 1)) / engines + 1;
      assert.ok(bound * engines >= total + 1);
      assert.ok(bound < allowed, `${bound} of ${allowed}`);
    };
    const total = fc.nat(100_000);
    const engines = fc.integer({min: 1, max: 2000});
    fc.assert(fc.property(total, engines, rules, check), {seed: 1});
  },
);
