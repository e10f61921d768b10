// The deployment tolerates the loss of one zone. Is the acknowledged configuration still there once a zone is lost?
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Fleet, configuration, now, sleep } from '../lib-2/fleet.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';
/** Five core machines in three zones, as in the larger sites; the tolerance is one machine, or one zone. */
const ZONES = ['centre', 'centre', 'north', 'north', 'south'];
const LOST = 'centre';
const servers = [{ stage: 'prefill' }, { stage: 'decode' }, { stage: 'decode' }];
const fleet = await Fleet.make(HERE, { cores: 5, coreZones: ZONES, tolerance: { machines: 1, zones: 1 }, servers });
const { record, bounds } = fleet;
let code = 2;
try {
  await fleet.start();
  const first = await fleet.replace(0, configuration(1));
  const second = await fleet.replace(1, configuration(2, 7000));
  if (first.status !== 200 || second.status !== 200 || !(await fleet.untilReady())) throw new Error('the deployment did not come up');
  // Calm for as long as a newcomer may take to catch up, and for as long as contact takes.
  await sleep(bounds.catchUp + bounds.contact);
  const before = await fleet.read();
  if (before.status !== 200 || JSON.parse(before.body).revision !== 2) throw new Error('the configuration was not read back before');
  record.say('operator read back revision 2');
  const left = fleet.nodes.filter((n) => !TROUBLE || n.zone !== LOST);
  if (TROUBLE) {
    record.say(`the zone ${LOST} is lost`);
    for (const n of fleet.nodes) if (n.zone === LOST) fleet.signal(n, 'SIGKILL');
  }
  // The time for recovery, then twice that for contact, in which the operator asks again and again, at every daemon that is left.
  await sleep(bounds.recovery);
  let got = { status: 0, body: '' };
  const until = now() + 2 * bounds.contact;
  while (got.status !== 200 && now() < until) {
    got = await fleet.read({ to: left, until: 1000 });
    record.say(`operator read: ${got.status === 200 ? `revision ${JSON.parse(got.body).revision}` : 'nothing came'}`);
  }
  const third = await fleet.replace(2, configuration(3, 6000), { to: left, until: 2 * bounds.ack });
  const held = got.status === 200 && JSON.parse(got.body).revision === 2;
  console.log(
    `${held ? 'held' : 'broken'}: revision 2 was acknowledged, ${held ? 'and was read back' : 'and is not read back'}; ` +
      `a further change was ${third.status === 200 ? 'acknowledged' : 'not acknowledged'}`,
  );
  code = held ? 0 : 1;
} catch (e) {
  record.say(`could not run: ${e.message}`);
  console.log(`could not run: ${e.message}`);
} finally {
  await fleet.stop();
}
process.exit(code);
