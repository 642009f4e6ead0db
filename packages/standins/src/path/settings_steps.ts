import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Child} from '../fleet/child.js';
import {DAEMON_SCRIPT} from '../fleet/fleet.js';

const VALID_SETTINGS = {
  id: 'entry-1',
  region: 'centro',
  availabilityZone: 'centro-a',
  callerListener: {host: '127.0.0.1', port: 40001},
  controlListener: {host: '127.0.0.1', port: 40002},
  platform: {host: '127.0.0.1', port: 40003},
  keysFile: '/nonexistent/keys.json',
};
const {availabilityZone: unusedZone, ...SETTINGS_WITHOUT_ZONE} = VALID_SETTINGS;

/** Contents of invalid settings files, by the error in them. */
const INVALID_SETTINGS: Readonly<Record<string, string>> = {
  'a port out of range': JSON.stringify({
    ...VALID_SETTINGS,
    callerListener: {host: '127.0.0.1', port: 70_000},
  }),
  'no availability zone': JSON.stringify(SETTINGS_WITHOUT_ZONE),
  'an unknown property': JSON.stringify({...VALID_SETTINGS, colour: 'blue'}),
  'a port and a zone missing': JSON.stringify({
    ...SETTINGS_WITHOUT_ZONE,
    controlListener: {host: '127.0.0.1'},
  }),
  'broken JSON': '{"id": ',
  'no keys file': JSON.stringify(VALID_SETTINGS),
};

/** Fixture of the settings scenarios: the settings folder and exit code. */
interface SettingsWorld extends World {
  settingsFolder?: string;
  exitCode: number | null;
}

Given(
  /^daemon settings with (.+)$/,
  function (this: SettingsWorld, wrong: string) {
    this.settingsFolder = mkdtempSync(join(tmpdir(), 'greengagecross-'));
    const text = INVALID_SETTINGS[wrong];
    assert.ok(text !== undefined, `no settings for ${wrong}`);
    writeFileSync(join(this.settingsFolder, 'settings.json'), text);
  },
);

When(
  'the daemon is started with these settings',
  async function (this: SettingsWorld) {
    const folder = this.settingsFolder ?? '';
    const args = ['--settings', join(folder, 'settings.json')];
    const log = join(folder, 'log');
    const child = new Child('daemon', DAEMON_SCRIPT, args, log);
    this.exitCode = await child.waitEnd();
  },
);

Then(
  'the daemon exits with code {int} and logs {string}',
  function (this: SettingsWorld, code: number, path: string) {
    assert.equal(this.exitCode, code);
    const log = readFileSync(join(this.settingsFolder ?? '', 'log'), 'utf8');
    assert.ok(log.includes(path), log);
  },
);

After(function (this: SettingsWorld) {
  if (this.settingsFolder !== undefined) {
    rmSync(this.settingsFolder, {recursive: true});
  }
});
