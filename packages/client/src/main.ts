#!/usr/bin/env node
import './set_colours.js';
import {defineCommand, runCommand, runMain, type CommandContext} from 'citty';
import {toError} from '@greengagecross/common';
import {acceptCommand} from './commands/accept.js';
import {drainCommand} from './commands/drain.js';
import {dumpCommand} from './commands/dump.js';
import {explainCommand} from './commands/explain.js';
import {historyCommand} from './commands/history.js';
import {planCommand} from './commands/plan.js';
import {questionnaireCommand} from './commands/questionnaire.js';
import {rollbackCommand} from './commands/rollback.js';
import {statusCommand} from './commands/status.js';
import {ExitCode} from './exit_code.js';

const BUILTIN_FLAGS = ['--help', '-h', '--version', '-v'];
const subCommands = {
  questionnaire: questionnaireCommand,
  plan: planCommand,
  accept: acceptCommand,
  history: historyCommand,
  rollback: rollbackCommand,
  status: statusCommand,
  dump: dumpCommand,
  explain: explainCommand,
  drain: drainCommand,
};

const mainCommand = defineCommand({
  meta: {
    name: 'greengagecross',
    version: '0.1.0',
    description:
      'Operate a greengagecross fleet. Exit codes: 0 done, 1 platform or daemon failed, 2 invalid input, 3 conflict, 4 incomplete or a promise does not hold.',
  },
  subCommands,
});

/** Throws on an option that the command does not define. */
function checkOptions(context: CommandContext): void {
  const known = new Set(Object.keys(context.cmd.args ?? {}));
  for (const option of Object.keys(context.args)) {
    if (option === '_' || known.has(option)) continue;
    throw new Error(`there is no option --${option}`);
  }
}

for (const command of Object.values(subCommands)) {
  Object.assign(command, {setup: checkOptions});
}

const rawArgs = process.argv.slice(2);
if (rawArgs.some(arg => BUILTIN_FLAGS.includes(arg))) {
  await runMain(mainCommand, {rawArgs});
} else {
  try {
    await runCommand(mainCommand, {rawArgs});
  } catch (thrown) {
    const {message} = toError(thrown);
    process.stderr.write(`${message}\nSee greengagecross --help.\n`);
    process.exitCode = ExitCode.BAD_INPUT;
  }
}
