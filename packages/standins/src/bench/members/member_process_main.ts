import {readFileSync} from 'node:fs';
import {runProcess, type ProcessPlan} from './member_process.js';

const [file = ''] = process.argv.slice(2);
const plan = JSON.parse(readFileSync(file, 'utf8')) as ProcessPlan;
const figures = await runProcess(plan);
process.stdout.write(JSON.stringify(figures));
process.exit(0);
