import {readdirSync} from 'node:fs';
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
  outfile: 'target/greengagecross.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  alias,
  // Bundled CommonJS packages ask for Node's own modules by `require`.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
