// Puts the platform's program into one file under target/, from the sources alone: nothing has to be built before.
import { build } from 'esbuild';
import { mkdirSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';

const folder = (name) => (name === 'platform' ? 'platform' : `packages/${name}`);
const workspace = {
  name: 'workspace',
  setup(b) {
    // Our packages are read from their sources; what of them is not used is left out.
    b.onResolve({ filter: /^@pumicebarrow\/[\w-]+$/ }, ({ path }) => ({
      path: resolve(folder(path.slice('@pumicebarrow/'.length)), 'src/index.ts'),
      sideEffects: false,
    }));
  },
};
// ts-results comes in a wrapping that hides its files from the bundler; its ES modules are whole.
const results = {
  name: 'results',
  setup(b) {
    b.onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'results' }));
    b.onLoad({ filter: /.*/, namespace: 'results' }, () => ({
      contents: `import * as all from './node_modules/ts-results/esm/index.js'; export default all;`,
      resolveDir: process.cwd(),
    }));
  },
};
mkdirSync('target', { recursive: true });
// One file of CommonJS loads fastest: no module graph is walked at the start.
writeFileSync('target/package.json', '{ "type": "commonjs" }\n');
await build({
  stdin: {
    contents: "import { Main } from './platform/src/main.js'; void Main.run(process.argv.slice(2));",
    resolveDir: process.cwd(),
    loader: 'ts',
  },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [workspace, results],
  outfile: 'target/pumicebarrow.js',
});
