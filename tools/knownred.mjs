// Runs the tests in several processes and compares what fails with KNOWN-RED.txt: listed tests have to fail, all others
// have to pass, and every test that was found has to run once. The last line is `N passed, N failed`.
// node tools/knownred.mjs [--beside COMMAND] [list [file of tests]...]; PUMICEBARROW_WORKERS says how many processes at the
// most. The command runs beside the tests in virtual time, and has to succeed.
import { readFileSync } from 'node:fs';
import { Beside } from './tests/beside.mjs';
import { Cores } from './tests/cores.mjs';
import { Crew } from './tests/crew.mjs';
import { Found } from './tests/found.mjs';
import { Plan } from './tests/plan.mjs';
import { Verdict } from './tests/verdict.mjs';

const args = process.argv.slice(2);
const command = args[0] === '--beside' ? args.splice(0, 2)[1] : null;
const [file = 'KNOWN-RED.txt', ...specs] = args;
// A line is `title | cause | issue`.
const listed = readFileSync(file, 'utf8').split('\n').map((l) => l.split(' | ')[0].trim()).filter((l) => l !== '' && !l.startsWith('#'));
const cores = Cores.count();
const { found, timeout } = await Found.of(specs);
const beside = command ? Beside.start(command) : null;
const reports = [], crashes = [];
for (const stage of Plan.of(found, cores)) {
  if (stage.alone) await beside?.over;
  const got = await Crew.run(stage.units, stage.atOnce, timeout, console.log);
  reports.push(...got.reports);
  crashes.push(...got.crashes);
}
const besides = (await beside?.over) ?? [];
const v = Verdict.of(found.map((t) => t.title), reports, crashes, listed);
v.faults.push(...besides);
for (const t of v.red) console.log(`known red: ${t}`);
for (const f of v.faults) console.error(`known red: ${f}`);
console.log(`\n${v.passed} passed, ${v.failed} failed${v.skipped > 0 ? `, ${v.skipped} skipped` : ''}`);
process.exitCode = v.faults.length > 0 ? 1 : 0;
