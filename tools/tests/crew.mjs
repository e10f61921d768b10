import { fork } from 'node:child_process';
import { relative } from 'node:path';
import { fileURLToPath } from 'node:url';

const WORKER = fileURLToPath(new URL('./worker.mjs', import.meta.url));

/** Runs one unit in a process of its own. Invariant: it ends, at the latest when all its tests are out of time. */
const one = (unit, timeout, print) =>
  new Promise((done) => {
    const reports = [];
    let running = null,
      over = false;
    const env = { ...process.env, PUMICEBARROW_HANDS: String(unit.threads) };
    const p = fork(WORKER, [unit.file], { env, execArgv: ['--max-old-space-size=1400'] });
    const most = timeout > 0 ? timeout * (unit.titles.length + 1) : 2 ** 31 - 1;
    const late = setTimeout(() => p.kill('SIGKILL'), Math.min(most, 2 ** 31 - 1));
    p.on('message', (m) => {
      if (m.what === 'begin') running = m.title;
      if (m.what === 'over') over = true;
      if (m.what !== 'test') return;
      reports.push(m);
      const said = m.state === 'passed' ? 'ok  ' : m.state;
      print(`${said} ${String(Math.round(m.ms)).padStart(6)} ms  ${m.title}${m.why ? `\n${m.why}` : ''}`);
    });
    p.on('error', () => undefined);
    p.on('close', (code, signal) => {
      clearTimeout(late);
      const how = `${relative('.', unit.file)} ended with ${signal ?? code}`;
      const crash = over ? [] : [`${how} before its end${running ? `, in: ${running}` : ''}`];
      done({ reports, crashes: crash });
    });
    p.send({ titles: unit.titles, timeout });
  });

/** Shares units out over processes, so many at once. */
export const Crew = {
  async run(units, atOnce, timeout, print) {
    const rest = [...units];
    const reports = [], crashes = [];
    const next = async () => {
      for (let u = rest.shift(); u; u = rest.shift()) {
        const got = await one(u, timeout, print);
        reports.push(...got.reports);
        crashes.push(...got.crashes);
      }
    };
    await Promise.all(Array.from({ length: Math.min(atOnce, units.length) }, next));
    return { reports, crashes };
  },
};
