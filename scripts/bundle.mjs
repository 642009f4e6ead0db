import {spawnSync} from 'node:child_process';
import {copyFileSync, readdirSync} from 'node:fs';
import {build} from 'esbuild';

// Packages are taken from their sources, so that nothing is written but target/.
const alias = Object.fromEntries(
  readdirSync('packages').map(name => [
    `@greengagecross/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/greengagecross.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minify: true,
  alias,
});
copyFileSync('scripts/start.cjs', 'target/start.cjs');
const {status} = spawnSync(process.execPath, ['target/start.cjs', '--help'], {
  env: {...process.env, WRITE_CODE_CACHE: '1'},
  stdio: 'ignore',
});
process.exit(status ?? 1);
