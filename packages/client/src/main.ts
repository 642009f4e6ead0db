#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';
import {acceptCommand} from './commands/accept.js';
import {historyCommand} from './commands/history.js';
import {planCommand} from './commands/plan.js';
import {questionnaireCommand} from './commands/questionnaire.js';
import {rollbackCommand} from './commands/rollback.js';
import {statusCommand} from './commands/status.js';

const mainCommand = defineCommand({
  meta: {
    name: 'greengagecross',
    version: '0.1.0',
    description: 'Operate a greengagecross fleet.',
  },
  subCommands: {
    questionnaire: questionnaireCommand,
    plan: planCommand,
    accept: acceptCommand,
    history: historyCommand,
    rollback: rollbackCommand,
    status: statusCommand,
  },
});

await runMain(mainCommand);
