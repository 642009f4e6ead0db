import {parseArgs} from 'node:util';
import {TODAY} from '../../fleet/fleet_plan.js';
import {closeCalls} from '../../fleet/http_json.js';
import {runFaults} from './fault_run.js';

const MS_PER_MINUTE = 60_000;
const LOAD = {
  chats: 80,
  bookings: 60,
  turnsPerChat: 6,
  chatPauseMs: 150,
  bookingPauseMs: 60,
};

/**
 * Runs `npm run bench -- faults --seed N --minutes M`. The exit code is 1 if an
 * answer was incomplete, or a request reported not-run was executed, or a booking
 * was executed twice.
 */
export async function run(args: readonly string[]): Promise<number> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      seed: {type: 'string', default: '1'},
      minutes: {type: 'string', default: '1'},
    },
  });
  const seed = Number(values.seed);
  const {account, faults} = await runFaults({
    size: TODAY,
    load: {...LOAD, seed},
    seed,
    randomMs: Number(values.minutes) * MS_PER_MINUTE,
    fixed: [],
  });
  closeCalls();
  process.stdout.write(`${JSON.stringify({...account, seed, faults})}\n`);
  const isSound =
    account.incomplete === 0 &&
    account.executed_though_told_not_run === 0 &&
    account.executed_twice === 0;
  return isSound ? 0 : 1;
}
