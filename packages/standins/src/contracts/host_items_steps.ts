import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {HttpClient} from '@greengagecross/http';
import {HttpHostListSource, PlatformClient} from '@greengagecross/platform';
import {
  LIMIT_MS,
  makeHost,
  type ContractWorld,
} from './platform_contracts_steps.js';

const NESTED = JSON.parse('['.repeat(90) + ']'.repeat(90)) as object;
/** Fields of an odd item, by their names in the feature. */
const ODD_FIELDS: Readonly<Record<string, object>> = {
  'a port out of range': {port: 70_000},
  'a number too large': {controlPort: 1e300},
  'a zone nested 90 levels deep': {availabilityZone: NESTED},
  'no id': {id: ''},
};

When(
  /^a list of 3 hosts, one of them with (.+), is read$/,
  async function (this: ContractWorld, what: string) {
    const client = new HttpClient();
    const caller = new PlatformClient(client, this.address, LIMIT_MS);
    const odd = {...makeHost('entry-2'), ...ODD_FIELDS[what]};
    const hosts = [makeHost('entry-1'), odd, makeHost('entry-3')];
    this.platformServer?.setHosts(hosts);
    const source = new HttpHostListSource(caller);
    this.lists = [await Effect.runPromise(source.fetch())];
    client.close();
  },
);

Then(
  'the list read has the other {int} hosts',
  function (this: ContractWorld, count: number) {
    const ids = this.lists[0]?.hosts.map(({id}) => id);
    assert.deepEqual(ids, ['entry-1', 'entry-3']);
    assert.equal(ids?.length, count);
  },
);
