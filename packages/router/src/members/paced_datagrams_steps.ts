import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  PACE_INTERVAL_MS,
  PacedDatagrams,
  type Datagram,
} from './paced_datagrams.js';

interface PacedWorld {
  paced: PacedDatagrams;
  daemons: number;
  groups: Datagram[][];
}

Given(
  'a heartbeat of {int} bytes to {int} daemons waits',
  function (this: PacedWorld, bytes: number, daemons: number) {
    this.paced ??= new PacedDatagrams();
    this.daemons = daemons;
    for (let index = 0; index < daemons; index += 1) {
      const address = {host: `10.0.0.${index}`, port: 1};
      this.paced.add('heartbeat', {bytes: Buffer.alloc(bytes), address});
    }
  },
);

When('the waiting datagrams are sent', function (this: PacedWorld) {
  this.groups = [];
  while (this.paced.count() > 0) this.groups.push(this.paced.takeNext());
});

Then(
  'at most {int} bytes leave at once',
  function (this: PacedWorld, limit: number) {
    for (const group of this.groups) {
      const bytes = group.reduce((sum, {bytes}) => sum + bytes.length, 0);
      assert.ok(bytes <= limit, `${bytes} bytes`);
    }
  },
);

Then(
  'each daemon gets {int} datagram within {int} ms',
  function (this: PacedWorld, count: number, ms: number) {
    const hosts = this.groups.flat().map(({address}) => address.host);
    assert.equal(hosts.length, count * this.daemons);
    assert.equal(new Set(hosts).size, this.daemons);
    assert.ok((this.groups.length - 1) * PACE_INTERVAL_MS <= ms);
  },
);

Then(
  'each datagram has {int} bytes',
  function (this: PacedWorld, bytes: number) {
    for (const datagram of this.groups.flat()) {
      assert.equal(datagram.bytes.length, bytes);
    }
  },
);
