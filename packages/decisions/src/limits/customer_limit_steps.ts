import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {PlacementPreference, PriorityClass} from '@greengagecross/common';
import {CustomerEngineSelector} from '../placement/customer_engine_selector.js';
import {EngineGroup} from '../placement/engine_group.js';
import {EngineLedger} from '../placement/engine_ledger.js';
import {LoadSnapshot} from '../placement/load_snapshot.js';
import {SlotAuthority} from '../placement/slot_authority.js';
import {Admission} from './engine_admission.js';
import {SmallLimitPolicy, DaemonShareLimiter} from './customer_limit.js';

const LEASE_MS = 10_000;
/** Load multiple that never limits an engine. */
const UNBOUNDED_LOAD_MULTIPLE = 1e6;
const CUSTOMER = 'customer';

/** Fixture of the customer limit scenarios. */
interface CustomerLimitWorld extends World {
  daemonCount: number;
  /** The customer's limit over all daemons. */
  limit: number;
  group: EngineGroup;
  /** The group without the engine that left. */
  groupAfterLeave: EngineGroup;
  /** Chats that were granted and still run. */
  granted: number;
}

function makeGroup(count: number): EngineGroup {
  const engines = Array.from({length: count}, (unused, index) => ({
    id: `engine-${index}`,
    availabilityZone: 'zone',
  }));
  const preference = PlacementPreference.REUSE;
  const rules = {preference, maxLoadMultiple: UNBOUNDED_LOAD_MULTIPLE};
  return new EngineGroup('model', rules, engines);
}

Given(
  '{int} daemons, {int} engines and a customer limited to {int}',
  function (
    this: CustomerLimitWorld,
    daemons: number,
    engines: number,
    limit: number,
  ) {
    this.daemonCount = daemons;
    this.limit = limit;
    this.group = makeGroup(engines);
  },
);

When(
  'the customer sends chats to every daemon until the daemon refuses one',
  function (this: CustomerLimitWorld) {
    const {daemonCount, limit, group} = this;
    const owner = new SlotAuthority('owner', new EngineLedger(LEASE_MS));
    const noLoads = new LoadSnapshot([]);
    // The choice has no side effects, so one instance serves all daemons.
    const customerEngines = new CustomerEngineSelector();
    this.granted = 0;
    for (let daemon = 0; daemon < daemonCount; daemon += 1) {
      const limiter = new DaemonShareLimiter(SmallLimitPolicy.LEAVE_TO_OWNERS);
      const share = customerEngines.find(CUSTOMER, limit, group, daemonCount);
      const engines = share?.engines ?? group.hashedIds;
      for (let chat = 0; chat < 2 * limit; chat += 1) {
        if (!limiter.acquire(CUSTOMER, limit, daemonCount)) break;
        const slotId = `${daemon} ${chat}`;
        const isGranted = engines.some(({id: engine}) => {
          const priority = PriorityClass.CONSULTATION;
          const lease = {
            engine,
            slotId,
            holder: `${daemon}`,
            customer: CUSTOMER,
            priority,
          };
          const maxInFlightPerEngine = share?.maxInFlightPerEngine;
          const answer = owner.acquire(
            lease,
            group,
            noLoads,
            0,
            0,
            maxInFlightPerEngine,
          );
          return answer === Admission.GRANTED;
        });
        if (!isGranted) break;
        this.granted += 1;
      }
    }
  },
);

Then(
  'between {int} and {int} chats run at once',
  function (this: CustomerLimitWorld, min: number, max: number) {
    assert.ok(this.granted >= min, `${this.granted}`);
    assert.ok(this.granted <= max, `${this.granted}`);
  },
);

When('one engine leaves', function (this: CustomerLimitWorld) {
  this.groupAfterLeave = makeGroup(this.group.ids.length - 1);
});

Then(
  'at most 1 in {int} of the engine assignments of {int} customers has changed',
  function (this: CustomerLimitWorld, part: number, customers: number) {
    const customerEngines = new CustomerEngineSelector();
    // An assignment is a pair of a customer and one of its engines.
    const find = (customer: string, group: EngineGroup) =>
      (
        customerEngines.find(customer, this.limit, group, this.daemonCount)
          ?.engines ?? []
      ).map(engine => engine.id);
    let total = 0;
    let changed = 0;
    for (let index = 0; index < customers; index += 1) {
      const before = find(`customer-${index}`, this.group);
      const after = new Set(find(`customer-${index}`, this.groupAfterLeave));
      total += before.length;
      changed += before.filter(id => !after.has(id)).length;
    }
    assert.ok(total >= 2 * customers);
    assert.ok(changed * part <= total, `${changed} of ${total}`);
  },
);
