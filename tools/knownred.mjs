// Runs the tests and compares what fails with KNOWN-RED.txt: listed tests have to fail, all others have to pass.
// node tools/knownred.mjs [list [file of tests]...]
import Mocha from 'mocha';
import options from 'mocha/lib/cli/options.js';
import collect from 'mocha/lib/cli/collect-files.js';
import { readFileSync } from 'node:fs';

const [file = 'KNOWN-RED.txt', ...specs] = process.argv.slice(2);
const listed = new Set(
  readFileSync(file, 'utf8').split('\n').map((l) => l.trim()).filter((l) => l !== '' && !l.startsWith('#')),
);
// The patterns of .mocharc.json come back as positional arguments.
const opts = options.loadOptions(specs.length > 0 ? ['--no-config'] : []);
const mocha = new Mocha(opts);
const files = specs.length > 0 ? specs : collect({ extension: opts.extension, file: [], ignore: [], recursive: false, sort: false, spec: opts._ }).files;
for (const f of files) mocha.addFile(f);
await mocha.loadFilesAsync();
const failed = new Set(), passed = new Set();
mocha
  .run(() => {
    for (const t of listed) if (failed.has(t)) console.log(`known red: ${t}`);
    const faults = [
      ...[...failed].filter((t) => !listed.has(t)).map((t) => `fails and is not listed: ${t}`),
      ...[...listed].filter((t) => !failed.has(t)).map((t) => `is listed and ${passed.has(t) ? 'passes' : 'did not run'}: ${t}`),
    ];
    if (passed.size + failed.size === 0) faults.push('no test ran');
    for (const f of faults) console.error(`known red: ${f}`);
    process.exit(faults.length > 0 ? 1 : 0);
  })
  .on('pass', (t) => passed.add(t.fullTitle()))
  .on('fail', (t) => failed.add(t.fullTitle()));
