import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ConfigurationDocuments} from './configuration_documents.js';
import {
  ConfigurationSpread,
  makeTestConfiguration,
} from './configuration_spread.js';

/** Bytes beyond the rate that a sender may send at once, and a document. */
const BURST_BYTES = 16_384;

/** Fixture of daemons behind thin links. */
interface SpreadWorld {
  spread: ConfigurationSpread;
  bytesPerSecond: number;
  followers: number;
}

Given(
  '{int} daemons behind links of {int} bytes a second, of which {int} follow the store',
  function (
    this: SpreadWorld,
    daemons: number,
    bytesPerSecond: number,
    followers: number,
  ) {
    this.bytesPerSecond = bytesPerSecond;
    this.followers = followers;
    this.spread = new ConfigurationSpread(
      daemons,
      followers,
      bytesPerSecond / 1000,
    );
  },
);

When(
  'the followers hold an update with {int} routes and advertise it',
  function (this: SpreadWorld, routes: number) {
    const before = makeTestConfiguration(1, 1);
    this.spread.start(before, makeTestConfiguration(2, routes));
  },
);

Then(
  'the update is more than {int} bytes when it is compressed',
  function (this: SpreadWorld, bytes: number) {
    const [follower] = this.spread.members.values();
    assert.ok(follower);
    const documents = new ConfigurationDocuments(follower.state);
    const compressed = documents.getActive()?.deflated ?? '';
    assert.ok(Buffer.byteLength(compressed, 'base64') > bytes);
  },
);

Then(
  'all daemons hold the update within {int} ms',
  {timeout: 60_000},
  async function (this: SpreadWorld, withinMs: number) {
    await this.spread.run(withinMs);
    const late = [...this.spread.members]
      .filter(([, {state}]) => state.configuration.getVersion() !== 2)
      .map(([id]) => id);
    assert.deepEqual(late, []);
  },
);

Then('no daemon was sent the update twice', function (this: SpreadWorld) {
  const {documents, members} = this.spread;
  const receivers = new Set(documents.map(({to}) => to));
  assert.equal(receivers.size, members.size - this.followers);
  assert.equal(documents.length, receivers.size);
});

Then(
  'no daemon asked for it more than {int} times',
  function (this: SpreadWorld, most: number) {
    const counts = [...this.spread.calls.values()];
    assert.equal(counts.length, this.spread.members.size - this.followers);
    assert.ok(Math.max(...counts) <= most, counts.join(' '));
  },
);

Then('no daemon read the store', function (this: SpreadWorld) {
  for (const {source} of this.spread.members.values()) {
    assert.equal(source.reads, 0);
  }
});

Then(
  "no daemon sent more than half of its link's bandwidth",
  function (this: SpreadWorld) {
    const {documents} = this.spread;
    for (const first of documents) {
      let bytes = 0;
      const sent = documents.filter(
        ({from, atMs}) => from === first.from && atMs >= first.atMs,
      );
      for (const document of sent) {
        bytes += document.bytes;
        const seconds = (document.atMs - first.atMs) / 1000;
        const allowed = seconds * (this.bytesPerSecond / 2) + BURST_BYTES;
        assert.ok(bytes <= allowed + document.bytes, `${first.from}: ${bytes}`);
      }
    }
  },
);
