import type {Account} from '../account/account.js';

/** Formats the account for people. */
export function formatAccount(
  account: Account,
  notCompleteBefore: number,
  notCompleteAfter: number,
): string {
  const {requests, returns, warm_returns: warm} = account;
  const percent = (part: number, whole: number): string =>
    whole === 0 ? '-' : `${((100 * part) / whole).toFixed(2)} %`;
  return [
    `requests                     ${requests}`,
    `whole answers                ${account.complete} (${percent(account.complete, requests)})`,
    `failed / unknown / not run   ${account.failed} / ${account.unknown} / ${account.told_not_run}`,
    `incomplete                   ${account.incomplete}`,
    `run though told not run      ${account.executed_though_told_not_run}`,
    `run twice                    ${account.executed_twice}`,
    `warm returns                 ${warm} of ${returns} (${percent(warm, returns)})`,
    `skew, worst over mean        ${account.skew_max_over_mean.toFixed(2)}`,
    `control bytes/s a daemon     ${account.control_bytes_per_second_per_daemon.toFixed(0)}`,
    ...Object.entries(account.control_bytes_by_kind).map(
      ([kind, bytes]) => `  of these ${kind.padEnd(18)}  ${bytes.toFixed(0)}`,
    ),
    `no whole answer before/after the kill   ${notCompleteBefore} / ${notCompleteAfter}`,
  ].join('\n');
}
