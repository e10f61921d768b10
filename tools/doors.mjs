// Writes each package's index.ts from its files: one named export a file.
import { existsSync, readdirSync, readFileSync, writeFileSync, statSync } from 'node:fs';
for (const p of [...readdirSync('packages').map((d) => `packages/${d}`), 'platform']) {
  const dir = `${p}/src`;
  const lines = [];
  const walk = (d, rel) => {
    for (const f of readdirSync(d).sort()) {
      if (statSync(`${d}/${f}`).isDirectory()) { if (f !== 'commands') walk(`${d}/${f}`, `${rel}${f}/`); continue; }
      if (!f.endsWith('.ts') || f === 'index.ts' || f === 'generated.ts' || f.endsWith('.test.ts') || f.endsWith('.d.ts')) continue;
      const text = readFileSync(`${d}/${f}`, 'utf8');
      const kinds = [...text.matchAll(/^export (const|type) (\w+)/gm)];
      if (kinds.length === 0) continue;
      const value = kinds.some((k) => k[1] === 'const');
      lines.push(`export { ${value ? '' : 'type '}${kinds[0][2]} } from './${rel}${f.replace('.ts', '.js')}';`);
    }
  };
  walk(dir, '');
  if (existsSync(`${dir}/generated.ts`)) lines.push("export type * from './generated.js';");
  if (lines.length) writeFileSync(`${dir}/index.ts`, lines.join('\n') + '\n');
}
