import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {PlacementPreference, PriorityClass} from '@greengagecross/common';
import {CustomerEngines} from '../placement/customer_engines.js';
import {EngineGroup} from '../placement/engine_group.js';
import {EngineLedger} from '../placement/engine_ledger.js';
import {LoadSnapshot} from '../placement/load_snapshot.js';
import {SlotAuthority} from '../placement/slot_authority.js';
import {Admission} from './engine_admission.js';
import {CoarsePart, CustomerLimit} from './customer_limit.js';

const LEASE_MS = 10_000;
/** Lets one engine carry everything. */
const LOOSE_MULTIPLE = 1e6;
const CUSTOMER = 'customer';

/** State of one scenario about a customer's limit. */
interface CustomerLimitWorld extends World {
  daemons: number;
  limit: number;
  group: EngineGroup;
  left: EngineGroup;
  granted: number;
}

function makeGroup(count: number): EngineGroup {
  const engines = Array.from({length: count}, (unused, index) => ({
    id: `engine-${index}`,
    availabilityZone: 'zone',
  }));
  const preference = PlacementPreference.REUSE;
  const rules = {preference, maxLoadMultiple: LOOSE_MULTIPLE};
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
    this.daemons = daemons;
    this.limit = limit;
    this.group = makeGroup(engines);
  },
);

When(
  'its chats reach every daemon until nothing more is granted',
  function (this: CustomerLimitWorld) {
    const {daemons, limit, group} = this;
    const owner = new SlotAuthority('owner', new EngineLedger(LEASE_MS));
    const none = new LoadSnapshot([]);
    // Choosing is pure, so that one chooser stands for every daemon's.
    const chosen = new CustomerEngines();
    this.granted = 0;
    for (let daemon = 0; daemon < daemons; daemon += 1) {
      const own = new CustomerLimit(CoarsePart.LEAVE_TO_OWNERS);
      const share = chosen.find(CUSTOMER, limit, group, daemons);
      const engines = share?.engines ?? group.hashedIds;
      for (let chat = 0; chat < 2 * limit; chat += 1) {
        if (!own.acquire(CUSTOMER, limit, daemons)) break;
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
          const most = share?.perEngine;
          const answer = owner.acquire(lease, group, none, 0, 0, most);
          return answer === Admission.GRANTED;
        });
        if (!isGranted) break;
        this.granted += 1;
      }
    }
  },
);

Then(
  'between {int} and {int} of them run at once',
  function (this: CustomerLimitWorld, least: number, most: number) {
    assert.ok(this.granted >= least, `${this.granted}`);
    assert.ok(this.granted <= most, `${this.granted}`);
  },
);

When('one engine leaves', function (this: CustomerLimitWorld) {
  this.left = makeGroup(this.group.ids.length - 1);
});

Then(
  "at most 1 in {int} of {int} customers' engines has changed",
  function (this: CustomerLimitWorld, part: number, customers: number) {
    const chosen = new CustomerEngines();
    const find = (customer: string, group: EngineGroup) =>
      (
        chosen.find(customer, this.limit, group, this.daemons)?.engines ?? []
      ).map(engine => engine.id);
    let all = 0;
    let changed = 0;
    for (let index = 0; index < customers; index += 1) {
      const before = find(`customer-${index}`, this.group);
      const after = new Set(find(`customer-${index}`, this.left));
      all += before.length;
      changed += before.filter(id => !after.has(id)).length;
    }
    assert.ok(all >= 2 * customers);
    assert.ok(changed * part <= all, `${changed} of ${all}`);
  },
);
