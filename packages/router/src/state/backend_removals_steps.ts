import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import type {BackendServer} from '../model/backend_server.js';
import {FleetState} from './fleet_state.js';

const SERVER: BackendServer = {
  id: 's1',
  service: 'chat',
  address: {host: '127.0.0.1', port: 1},
  availabilityZone: 'z1',
  slots: 8,
  isDraining: false,
  startedAtMs: 1,
};

interface RemovalWorld {
  state: FleetState;
}

function makeServers(names: string): BackendServer[] {
  return names.split(',').map(id => ({...SERVER, id}));
}

Given(
  'a backend list with the servers {string} at revision {int}',
  function (this: RemovalWorld, names: string, revision: number) {
    this.state = new FleetState();
    const version = {era: 0, revision, changeRevision: revision};
    this.state.backends.setAll(makeServers(names), version, 0);
  },
);

When(
  'the whole list is read again at revision {int} with the server {string}',
  function (this: RemovalWorld, revision: number, names: string) {
    const version = {era: 0, revision, changeRevision: 1};
    this.state.backends.setAll(makeServers(names), version, 1);
  },
);

Then(
  'the change of the list is advertised with revision {int}',
  function (this: RemovalWorld, revision: number) {
    const {changeRevision} = this.state.backends.getVersion();
    assert.equal(changeRevision, revision);
  },
);
