import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {PlacementPreference} from '@greengagecross/common';
import {Admission} from '../limits/engine_admission.js';
import {EngineGroup} from './engine_group.js';
import {EngineLedger} from './engine_ledger.js';
import {LoadSnapshot} from './load_snapshot.js';
import {SlotAuthority} from './slot_authority.js';

const RULES = {preference: PlacementPreference.REUSE, maxLoadMultiple: 1.5};
const LEASE_MS = 10_000;
const ENGINES = 10;

/** Fixture of the owner of one engine: the daemon that counts its requests. */
interface OwnerWorld extends World {
  group: EngineGroup;
  owner: SlotAuthority;
  snapshot: LoadSnapshot;
  /** Requests that got a slot. */
  granted: number;
}

Given(
  /^the owner of one of 10 engines, each with (\d+) requests in flight, (all reported|the other 9 engines not reported), limited to (\d+) requests$/,
  function (
    this: OwnerWorld,
    inFlight: string,
    reported: string,
    limit: string,
  ) {
    const ids = Array.from({length: ENGINES}, (unused, index) => `${index}`);
    const members = ids.map(id => ({id, availabilityZone: 'zone'}));
    this.group = new EngineGroup('model', RULES, members);
    const ledger = new EngineLedger(LEASE_MS);
    for (let index = 0; index < Number(inFlight); index += 1) {
      const slotId = `running ${index}`;
      ledger.renew({engine: '0', slotId, holder: 'owner'}, 0);
    }
    this.owner = new SlotAuthority('owner', ledger, () => Number(limit));
    const isComplete = reported === 'all reported';
    const engines = ids
      .slice(1)
      .map(engine => ({engine, inFlight: isComplete ? Number(inFlight) : 0}));
    this.snapshot = new LoadSnapshot([{daemon: 'other', engines}], isComplete);
  },
);

When(
  '{int} more requests ask the owner for a slot on its engine',
  function (this: OwnerWorld, requests: number) {
    this.granted = 0;
    for (let index = 0; index < requests; index += 1) {
      const lease = {engine: '0', slotId: `${index}`, holder: 'owner'};
      const {group, snapshot} = this;
      const admission = this.owner.acquire(lease, group, snapshot, 0);
      if (admission === Admission.GRANTED) this.granted += 1;
    }
  },
);

Then(
  '{int} of the requests get a slot',
  function (this: OwnerWorld, granted: number) {
    assert.equal(this.granted, granted);
  },
);
