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

/** State of one scenario about placement. */
interface PlacementWorld extends World {
  group: EngineGroup;
  loads: Map<string, number>;
  bound: number;
  isOwn: boolean;
  choices: PlacementChoice[];
  handedBack: string;
  samePlaces: number;
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
      isOwn: () => world.isOwn,
      bound: world.bound,
    },
  );
}

function parseTicket(text: string): Ticket | undefined {
  const match = /ticket of (\w) over (\d+) tokens(?:, earlier (\w))?/.exec(
    text,
  );
  if (match === null) return undefined;
  const [, engine = '', tokens, earlier] = match;
  const contextTokens = Number(tokens);
  const held = {engine: earlier ?? '', contextTokens: contextTokens - 500};
  const change = earlier === undefined ? {} : {earlier: held};
  return makeTicket({engine, contextTokens, ...change});
}

Given(
  /^engines a, b, c and d with ([\d,]+) in flight, placed under a bound of (\d+)$/,
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
  'another daemon counts the requests of every engine placed on',
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
  'the placement lists {int} engines to ask',
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
  /^(\d+) new chats are placed from the zone of (\w)$/,
  function (this: PlacementWorld, chats: string, zone: string) {
    this.choices = Array.from({length: Number(chats)}, (unused, index) =>
      choose(this, undefined, `chat ${index}`, `zone of ${zone}`),
    ).flatMap(choices => choices.slice(0, 1));
  },
);

Then(
  'at least {int} of them are placed on {word}, which is nearer than its equals',
  function (this: PlacementWorld, count: number, near: string) {
    const placed = this.choices.filter(choice => choice.engine === near);
    assert.ok(placed.length >= count, `${placed.length}`);
  },
);

Given(
  'a placement that reads tickets signed with either of two keys',
  function (this: PlacementWorld) {
    this.group = makeGroup(['a', 'b', 'c', 'd']);
    this.loads = new Map([['a', 3]]);
    this.bound = 4;
    this.isOwn = true;
  },
);

/** What callers hand back, by what is the matter with it. */
const HANDED_BACK: Readonly<Record<string, () => string>> = {
  'the ticket of the last answer': () => sign(KEYS, makeTicket()),
  'a ticket signed with the old key': () => sign(KEYS.slice(1), makeTicket()),
  'a ticket that names no earlier one': () => sign(KEYS, makeTicket()),
  'a ticket of a day ago': () =>
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
  /^the caller hands back (.+)$/,
  function (this: PlacementWorld, ticket: string) {
    const make = HANDED_BACK[ticket];
    assert.ok(make, ticket);
    const decoded = new TicketCodec(KEYS).decode(make(), 'customer', 'chat');
    this.choices = choose(this, decoded);
  },
);

Then(
  /^the placement (follows the ticket|takes it for lost)$/,
  function (this: PlacementWorld, reading: string) {
    const isFollowed = reading === 'follows the ticket';
    assert.equal(this.choices[0]?.reason, isFollowed ? 'ticket-warm' : 'home');
    assert.equal(this.choices[0]?.engine === 'a', isFollowed);
  },
);

Given(
  '{int} engines with even loads for placement',
  function (this: PlacementWorld, count: number) {
    const ids = Array.from({length: count}, (unused, i) => `engine-${i}`);
    this.group = makeGroup(ids);
    this.loads = new Map();
    this.bound = 4;
    this.isOwn = false;
  },
);

When(
  '{int} chats are placed, and placed again without a ticket under other loads',
  function (this: PlacementWorld, chats: number) {
    const names = Array.from({length: chats}, (unused, i) => `chat ${i}`);
    const findEngine = (chat: string): string | undefined =>
      choose(this, undefined, chat)[0]?.engine;
    const before = names.map(findEngine);
    this.loads = new Map(this.group.ids.map((id, index) => [id, index % 4]));
    const after = names.map(findEngine);
    this.samePlaces = before.filter((id, i) => id === after[i]).length / chats;
  },
);

Then(
  'at least half of them are placed on the same engine',
  function (this: PlacementWorld) {
    assert.ok(this.samePlaces >= 0.5, `${this.samePlaces}`);
  },
);

Then(
  'for any load the bound places every request and exceeds the multiple by less than one',
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
