// Keeps what V8 made of the program beside it, with the functions that a life goes through: control replicas and a router
// run here on loopback, take a configuration and serve requests with a stand-in server and list. Where that can't be
// done, what was made in loading is kept.
'use strict';
const { mkdtempSync, readFileSync, rmSync, writeFileSync } = require('node:fs');
const http = require('node:http');
const { tmpdir } = require('node:os');
const { join, resolve } = require('node:path');
const { Script } = require('node:vm');

const target = resolve(process.argv[2]);
const HOST = '127.0.0.1';
const KEEPERS = [HOST, '127.0.0.2', '127.0.0.3'];
const ROUTER = '127.0.0.4';
const LATE = 10_000;
const script = new Script(readFileSync(`${target}/program.js`, 'latin1'), { filename: `${target}/program.js` });
const program = { exports: {} };
script.runInThisContext()(program.exports, require, program);
const dir = mkdtempSync(join(tmpdir(), 'keepcode-'));
let why = 'a daemon ended';
// However it ends, something is kept, and the bundle is whole.
process.on('exit', () => {
  if (why) process.stderr.write(`What was made up to here is kept: ${why}.\n`);
  writeFileSync(`${target}/program.cache`, script.createCachedData());
  if (globalThis.formChecks) writeFileSync(`${target}/checks.json`, JSON.stringify([...globalThis.formChecks]));
  rmSync(dir, { recursive: true, force: true });
  process.exitCode = 0;
});
const end = (how) => {
  why = how;
  process.exit(0);
};
const nap = (ms) => new Promise((done) => setTimeout(done, ms));
const listen = (fn) =>
  new Promise((done, fail) => {
    const server = http.createServer(fn).once('error', fail);
    server.listen(0, HOST, () => done(server));
  });
const at = (server) => `${HOST}:${server.address().port}`;
const free = async () => {
  const server = await listen(() => undefined);
  const { port } = server.address();
  await new Promise((done) => server.close(done));
  return port;
};
const call = (addr, method, path, headers, body) =>
  new Promise((done) => {
    const [host, port] = addr.split(':');
    const req = http.request({ host, port, method, path, headers }, (res) => {
      res.on('data', () => undefined);
      res.on('error', () => done(0));
      res.on('end', () => done(res.statusCode));
    });
    req.on('error', () => done(0));
    req.end(body);
  });
const settings = (id, role, ip, port, list, binds, more = '') => `
node_name = "${id}"
node_role = "${role}"
ip_address = "${ip}"
zone = "z"
region = "r"
internal_port_range = [${port},${port}]
seed_nodes = [${KEEPERS.map((ip) => `"${ip}:${port}"`).join(', ')}]
bootstrap = true
quorum_member = ${role === 'control'}
${more}
limits = { memory_mb = 250 }
fault_tolerance = { machine_losses = 1 }
timing_bounds = { contact_ms = 3000, drain_ms = 3000, grace_s = 8, config_apply_ms = 2000, fencing_enabled = true }
cloud_api = { address = "${list}" }
[zones]
z = "r"
[bind_addresses]
${binds}
`;
const start = (role, name, text) => {
  const file = join(dir, `${name}.toml`);
  writeFileSync(file, text);
  process.env.PUMICEBARROW_CONFIG = file;
  void program.exports.Main.run([role]);
};
const service = (n) => ({
  name: `s${n}`,
  health_check_path: '/health',
  max_connections: 99,
  engine: { capacity_slots: 8, kv_cache_tokens: 99999, kv_token_bytes: 9, link_mbps: 9, model_list: [{ name: 'm' }] },
});
const route = {
  name: 'a',
  hostname: 'a.example',
  path_prefix: '/a/',
  route_type: 'streaming',
  timeout_ms: 8000,
  target_latency_ms: 800,
  target_gap_ms: 300,
  priority: 0,
  max_attempts: 2,
  session_affinity: true,
  resumable: true,
  backend_service: 's1',
};
const serve = (req, res) => {
  req.resume();
  req.on('end', () => {
    const { 'x-pumicebarrow-request-id': id, 'x-pumicebarrow-serving-stage': stage } = req.headers;
    if (id) res.setHeader('X-Pumicebarrow-Request-Id', id);
    res.setHeader('X-Pumicebarrow-Server-Seal', 's');
    if (req.method === 'DELETE' || req.url.startsWith('/api/')) return void res.end('{}');
    if (stage) return void res.end('{"prefill_handle":"h1","token_count":9000,"revision":1}');
    res.setHeader('Content-Type', 'text/event-stream');
    let n = 0;
    const next = () => {
      if (n++ === 4) return void res.end();
      res.write(`id: ${n}\ndata: word\n\n`);
      setTimeout(next, 5);
    };
    next();
  });
};
const run = async () => {
  const server = at(await listen(serve));
  const listed = ['prefill', 'decode'].map((stage) => ({
    ...{ instance_id: `i-${stage}`, backend_service: 's1', address: server, zone: 'z', capacity_slots: 8 },
    ...{ oper_state: 'ready', warmup_left_ms: 0, stage },
  }));
  const list = at(await listen((_req, res) => res.end(JSON.stringify({ instance_list: listed, next_token: null }))));
  const [port, control, front, ready] = await Promise.all([free(), free(), free(), free()]);
  for (const ip of KEEPERS) {
    const data = `data_dir = ${JSON.stringify(join(dir, `data-${ip}`))}`;
    start('control', ip, settings(ip, 'control', ip, port, list, `control_plane = "${ip}:${control}"`, data));
  }
  const binds = `front_http = "${HOST}:${front}"\nreadiness = "${HOST}:${ready}"`;
  start('router', 'r', settings('r', 'router', ROUTER, port, list, binds));
  const text = JSON.stringify({ revision: 1, route_table: [route], backend_services: [service(1)] });
  const base = { 'x-pumicebarrow-base-version': '0' };
  while ((await call(`${HOST}:${control}`, 'POST', '/api/Config.Replace', base, text)) !== 200) await nap(50);
  while ((await call(`${HOST}:${ready}`, 'GET', '/api/readiness')) !== 200) await nap(50);
  let served = 0;
  const ask = async (n) => {
    const tokens = n % 2 ? 9000 : 300;
    const headers = {
      host: 'a.example',
      'x-pumicebarrow-request-id': `w${n}`,
      'x-pumicebarrow-model': 'm',
      'x-pumicebarrow-token-count': `${tokens},300`,
      'x-pumicebarrow-prompt-prefix': `a:100,b:${tokens - 100}`,
      'x-pumicebarrow-deadline-ms': '8000',
    };
    if ((await call(`${HOST}:${front}`, 'POST', '/a/x', headers, 'hello')) === 200) served++;
  };
  for (let n = 0; n < 24; n += 3) await Promise.all([ask(n), ask(n + 1), ask(n + 2)]);
  if (served === 0) throw new Error('no request was served');
};
setTimeout(() => end('it took too long'), LATE);
process.on('uncaughtException', (e) => end(e.message));
run().then(
  () => end(''),
  (e) => end(e.message),
);
