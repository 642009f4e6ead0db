import assert from 'node:assert/strict';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {formatAddress} from '@greengagecross/common';
import {findFreePorts} from '@greengagecross/http';
import {waitUntil} from '../../fleet/wait_until.js';
import {FleetCourse} from './fleet_course.js';
import {LoopbackNode} from './loopback_node.js';
import {runMemberCase, type CaseFigures} from './member_case.js';
import type {CaseName} from './member_cases.js';
import type {NodePlan} from './member_node.js';
import {OneWayRelay} from './one_way_relay.js';
import {RedirectedCaller} from './redirected_caller.js';
import {ShownHosts} from './shown_hosts.js';

const SEED = 3;
const HOST = '127.0.0.1';
const LIMIT_MS = 40_000;
const SAMPLE_MS = 50;

/** State of one scenario about members. */
interface MembersWorld extends World {
  figures: CaseFigures;
  course: Map<string, number>;
  relay?: OneWayRelay;
  members?: Map<string, LoopbackNode>;
  shown: ShownHosts;
}

function listLive(world: MembersWorld, id: string): string[] {
  const member = world.members?.get(id);
  return [...(member?.node.listLive(Date.now()) ?? [])].sort();
}

function isWhole(world: MembersWorld): boolean {
  return ['a', 'b', 'c'].every(id => listLive(world, id).length === 3);
}

When(
  'the membership of {int} daemons goes through {word}',
  async function (this: MembersWorld, size: number, name: string) {
    this.figures = await runMemberCase(name as CaseName, size, SEED);
  },
);

Then(
  'within {int} ms no daemon sends callers to what was lost',
  function (this: MembersWorld, limitMs: number) {
    const {goneMs} = this.figures;
    assert.ok(goneMs <= limitMs, `${goneMs} ms`);
  },
);

Then(
  'within {int} ms all agree again, with no false suspicion',
  function (this: MembersWorld, limitMs: number) {
    const {wholeMs, falseSuspicions} = this.figures;
    assert.ok(wholeMs <= limitMs, `${wholeMs} ms`);
    assert.equal(falseSuspicions, 0);
  },
);

When(
  'a fleet of {int} daemons takes its course in virtual time',
  async function (this: MembersWorld, size: number) {
    this.course = new Map();
    const course = new FleetCourse(size, SEED, ({measure, value}) =>
      this.course.set(measure, value),
    );
    await course.run();
  },
);

Then(
  'a daemon spends at most {int} bytes a second at rest',
  function (this: MembersWorld, limit: number) {
    const spent = this.course.get('idle:control_bytes') ?? Infinity;
    assert.ok(spent <= limit, `${spent} bytes a second`);
  },
);

Then(
  'a revision is known to all within {int} ms',
  function (this: MembersWorld, limitMs: number) {
    const takenMs = this.course.get('revision:until_known') ?? Infinity;
    assert.ok(takenMs <= limitMs, `${takenMs} ms`);
  },
);

Then('nobody is suspected falsely on the way', function (this: MembersWorld) {
  const counts = [...this.course].filter(([name]) =>
    name.endsWith(':false_suspicions'),
  );
  assert.ok(counts.length > 0);
  assert.deepEqual(
    counts.filter(([, count]) => count > 0),
    [],
  );
});

Given(
  'members {string}, {string} and {string} on this machine, where {string} reaches {string} through a relay',
  async function (
    this: MembersWorld,
    a: string,
    b: string,
    c: string,
    from: string,
    to: string,
  ) {
    const ids = [a, b, c];
    const ports = await findFreePorts(ids.length + 1);
    const controls = ports.map(port => ({host: HOST, port}));
    const plans = new Map<string, NodePlan>();
    for (const [index, id] of ids.entries()) {
      const control = controls[index] ?? {host: HOST, port: 0};
      plans.set(id, {
        id,
        zone: 'zone',
        control,
        incarnation: 1,
        seeds: controls,
      });
    }
    const target = plans.get(to)?.control ?? {host: HOST, port: 0};
    const relayAddress = controls[ids.length] ?? target;
    this.relay = new OneWayRelay(target);
    await this.relay.listen(relayAddress);
    const relays = new Map([[formatAddress(target), relayAddress]]);
    this.shown = new ShownHosts();
    const unseen = new ShownHosts();
    this.members = new Map();
    for (const plan of plans.values()) {
      const member =
        plan.id === from
          ? new LoopbackNode(
              plan,
              this.shown,
              caller => new RedirectedCaller(caller, relays),
            )
          : new LoopbackNode(plan, unseen);
      this.members.set(plan.id, member);
      await member.start();
    }
    await waitUntil('members know each other', LIMIT_MS, () =>
      Promise.resolve(isWhole(this)),
    );
  },
);

When(
  'the relay drops what "a" sends for {int} seconds',
  async function (this: MembersWorld, seconds: number) {
    if (this.relay !== undefined) this.relay.isDropping = true;
    const endMs = performance.now() + seconds * 1000;
    while (performance.now() < endMs) {
      await new Promise(resolve => setTimeout(resolve, SAMPLE_MS));
      assert.ok(isWhole(this), 'a member was dropped');
    }
  },
);

Then(
  'each member takes all three for live throughout',
  function (this: MembersWorld) {
    assert.ok(isWhole(this));
  },
);

Then(
  'when {string} is stopped the other two drop it',
  async function (this: MembersWorld, id: string) {
    await this.members?.get(id)?.stop();
    await waitUntil('the stopped member is dropped', LIMIT_MS, () =>
      Promise.resolve(
        ['a', 'c'].every(other => listLive(this, other).join() === 'a,c'),
      ),
    );
  },
);

When(
  'only {string} sees engine {string} leaving and runs revision {int}',
  function (this: MembersWorld, id: string, engine: string, revision: number) {
    this.shown.addLeaving(engine);
    const member = this.members?.get(id);
    if (member !== undefined) {
      member.node.report = {configurationRevision: revision, engines: []};
    }
  },
);

Then(
  'every member knows that engine {string} leaves and that revision {int} exists',
  async function (this: MembersWorld, engine: string, revision: number) {
    const members = [...(this.members?.values() ?? [])];
    await waitUntil('the news is everywhere', LIMIT_MS, () =>
      Promise.resolve(
        members.every(
          ({node}) =>
            node.hosts.isLeaving(engine) &&
            node.service.getHighestRevision() === revision,
        ),
      ),
    );
  },
);

After(async function (this: MembersWorld) {
  for (const member of this.members?.values() ?? []) await member.stop();
  this.relay?.close();
});
