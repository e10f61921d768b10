// Puts the platform's program under target/, or the folder named, from the sources alone: nothing is built before.
import { build } from 'esbuild';
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { FormChecks } from './formchecks.mjs';

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
// Of undici and winston only what our sources name is loaded: their own doors load all of fetch, colours and more.
// Left out are HTTP/2, which no connection of ours speaks, and winston's tracing of itself.
const call = ['undici', 'lib', 'api', 'api-request.js'].join('/');
const doors = {
  'ts-results': `import * as all from './node_modules/ts-results/esm/index.js'; export default all;`,
  undici: `
    export { default as Agent } from './node_modules/undici/lib/dispatcher/agent.js';
    export { default as Client } from './node_modules/undici/lib/dispatcher/client.js';
    export { default as Pool } from './node_modules/undici/lib/dispatcher/pool.js';
    export { default as buildConnector } from './node_modules/undici/lib/core/connect.js';
    import Dispatcher from './node_modules/undici/lib/dispatcher/dispatcher.js';
    import request from './node_modules/${call}';
    Dispatcher.prototype.request = request;
    export { request };`,
  winston: `
    import combine from './node_modules/logform/combine.js';
    import printf from './node_modules/logform/printf.js';
    import timestamp from './node_modules/logform/timestamp.js';
    import Console from './node_modules/winston/lib/winston/transports/console.js';
    import createLogger from './node_modules/winston/lib/winston/create-logger.js';
    export default { createLogger, format: { combine, printf, timestamp }, transports: { Console } };`,
};
doors['typebox/compile'] = FormChecks.recorder;
const absent = 'module.exports = () => () => false;';
const narrow = {
  name: 'narrow',
  setup(b) {
    b.onResolve({ filter: /^@dabh\/diagnostics$|^\.\/client-h2\.js$/ }, () => ({
      path: 'absent',
      namespace: 'absent',
    }));
    b.onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents: absent }));
    const names = new RegExp(`^(${Object.keys(doors).join('|')})$`);
    b.onResolve({ filter: names }, ({ path }) => ({ path, namespace: 'narrow', sideEffects: false }));
    b.onLoad({ filter: /.*/, namespace: 'narrow' }, ({ path }) => ({
      contents: doors[path],
      resolveDir: process.cwd(),
    }));
    // What our own sources import counts only where it is used.
    b.onResolve(
      { filter: /^[@\w./-]+$/, namespace: 'file' },
      async ({ path, importer, resolveDir, kind, pluginData }) => {
        if (pluginData === 'again' || importer.includes('/node_modules/') || path.startsWith('.')) return null;
        const found = await b.resolve(path, { importer, resolveDir, kind, pluginData: 'again' });
        return found.errors.length > 0 || found.external ? null : { path: found.path, sideEffects: false };
      },
    );
    b.onResolve({ filter: /^\.\/node_modules\//, namespace: 'narrow' }, ({ path }) => ({
      path: resolve(path),
      sideEffects: false,
    }));
  },
};
const target = process.argv[2] ?? 'target';
mkdirSync(target, { recursive: true });
writeFileSync(`${target}/package.json`, '{ "type": "commonjs" }\n');
const bundle = () =>
  build({
    stdin: {
      contents: "export { Main } from './platform/src/main.js';",
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
    plugins: [workspace, narrow],
    banner: { js: '(function (exports, require, module) {' },
    footer: { js: '})' },
    outfile: `${target}/program.js`,
  });
// V8 takes what was kept only under the flags that it was made under, and so it is with what node keeps of its own
// modules. So the programs start without any, and these are set when all is loaded: the HTTP parser is compiled once
// and not optimized in every process, and functions are optimized late, as most lives end before it pays. The space for
// young objects stays as small as V8 makes it on a small machine: V8 goes by the machine that it sees, which may have
// more than the process may take. What node itself loads only when it first listens or looks at the clock is loaded
// before.
const late = ['node:cluster', 'node:dns', 'node:perf_hooks'];
const flags = ['--liftoff-only', '--interrupt-budget=500000', '--semi-space-growth-factor=1'];
// One file of CommonJS loads fastest, and faster still as what V8 made of it once: that is kept beside it. Where V8
// can't use it (another release, other flags), it says so and compiles anew.
writeFileSync(
  `${target}/pumicebarrow.js`,
  `'use strict';
// Settings that change while the program starts are read in any case; the signal must not end it.
process.on('SIGHUP', () => undefined);
const { existsSync, readFileSync } = require('node:fs');
const { Script } = require('node:vm');
const file = \`\${__dirname}/program.js\`;
const kept = \`\${__dirname}/program.cache\`;
const cachedData = existsSync(kept) ? readFileSync(kept) : undefined;
const script = new Script(readFileSync(file, 'latin1'), { filename: file, cachedData });
const program = { exports: {} };
script.runInThisContext()(program.exports, require, program);
for (const late of ${JSON.stringify(late)}) require(late);
const { setFlagsFromString } = require('node:v8');
for (const flag of ${JSON.stringify(flags)}) setFlagsFromString(flag);
void program.exports.Main.run(process.argv.slice(2));
`,
);
const keep = () => {
  rmSync(`${target}/program.cache`, { force: true });
  const kept = spawnSync(process.execPath, ['tools/keepcode.cjs', target], { stdio: ['ignore', 'ignore', 'pipe'] });
  if (kept.status === 0 && existsSync(`${target}/program.cache`)) return;
  process.stderr.write(kept.stderr);
  process.exit(1);
};
await bundle();
keep();
const checks = `${target}/checks.json`;
doors['typebox/compile'] = FormChecks.door(JSON.parse(readFileSync(checks, 'utf8')));
rmSync(checks);
await bundle();
keep();
