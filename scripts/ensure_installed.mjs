import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';

// A fresh clone has no node_modules; later runs skip the install.
if (!existsSync('node_modules/.package-lock.json')) {
  const result = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {
    stdio: ['ignore', 2, 2],
  });
  process.exit(result.status ?? 1);
}
