import assert from 'node:assert/strict';
import {Given, Then, World} from '@cucumber/cucumber';
import {SeededRandom} from '@greengagecross/common';
import {CallKind} from '../model/call_kind.js';
import type {Route} from '../model/route.js';
import {RouteTable} from './route_table.js';

const HOST = 'shop.example';
const SEED = 6;
/** As long as the longest path that is measured. */
const LONG_PREFIX = '/'.repeat(16_000);

/** World with one table of routes, and work whose time is measured. */
interface RouteWorld extends World {
  table: RouteTable;
  work: (size: number) => void;
}

/** Makes a route that is named for its prefix. */
function makeRoute(pathPrefix: string): Route {
  return {
    name: pathPrefix,
    host: HOST,
    pathPrefix,
    kind: CallKind.IDEMPOTENT,
    services: [{service: 'thing', weight: 1}],
    timeoutMs: 1000,
    objectiveMs: 100,
    maxAttempts: 2,
    priority: 1,
    isPublic: false,
    isResumable: false,
  };
}

function makePath(kind: string, length: number): string {
  if (kind === 'slashes') return '/'.repeat(length);
  if (kind === 'unknown segments') return '/x'.repeat(length / 2);
  return `${LONG_PREFIX.slice(0, length / 2)}${'x/'.repeat(length / 4)}`;
}

Given(
  'routes of shop.example for the prefixes {string}',
  function (this: RouteWorld, prefixes: string) {
    this.table = new RouteTable(prefixes.split(',').map(makeRoute));
  },
);

Given(
  /^the work of finding a route for a path of (.+)$/,
  function (this: RouteWorld, kind: string) {
    const table = new RouteTable([LONG_PREFIX, '/'].map(makeRoute));
    this.work = size => {
      assert.ok(table.find(HOST, makePath(kind, size)));
    };
  },
);

Then(
  'the route for {string} at {string} is {string}',
  function (this: RouteWorld, path: string, host: string, name: string) {
    assert.equal(this.table.find(host, path)?.name ?? 'none', name);
  },
);

Then(
  '{int} random paths get the longest of {int} random prefixes that begins them',
  function (this: RouteWorld, pathCount: number, prefixCount: number) {
    const random = new SeededRandom(SEED);
    const makeRandomPath = (): string =>
      Array.from({length: random.nextInt(6)}, () =>
        random.choose(['', 'a', 'b', 'ab']),
      ).join('/');
    const prefixes = Array.from({length: prefixCount}, () =>
      `/${makeRandomPath()}/`.replace('//', '/'),
    );
    const table = new RouteTable(prefixes.map(makeRoute));
    for (let at = 0; at < pathCount; at += 1) {
      const path = `/${makeRandomPath()}`;
      const expected = prefixes
        .filter(prefix => path.startsWith(prefix))
        .sort((a, b) => b.length - a.length)[0];
      assert.equal(table.find(HOST, path)?.name, expected, path);
    }
  },
);
