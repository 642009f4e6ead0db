#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';
import {acceptCommand} from './commands/accept.js';
import {statusCommand} from './commands/status.js';

const mainCommand = defineCommand({
  meta: {
    name: 'greengagecross',
    version: '0.1.0',
    description: 'Operate a greengagecross fleet.',
  },
  subCommands: {accept: acceptCommand, status: statusCommand},
});

await runMain(mainCommand);
