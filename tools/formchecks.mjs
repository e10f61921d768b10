// TypeBox writes a check's code for each schema that is used, in every process: a good part of a start. So a life is
// gone through once at the build, and the code written there is put into the program.
// Invariant: a schema is known again only by its whole text; one of which the text does not say all is left to run time.
const compile = './node_modules/typebox/build/compile/index.mjs';
const guard = './node_modules/typebox/build/guard/index.mjs';
const hashing = './node_modules/typebox/build/system/hashing/index.mjs';
const value = './node_modules/typebox/build/value/index.mjs';

const maker = ({ code, patterns }) => `() => { const External = [${patterns.join(', ')}]; ${code} }`;

export const FormChecks = {
  /** What stands for typebox/compile in the life that is gone through: it notes each check's code. */
  recorder: `
    import { Compile as make } from '${compile}';
    const told = (made) => {
      const outer = made.buildResult.External().variables;
      return { code: made.Code(), patterns: outer.map((e) => (e instanceof RegExp ? String(e) : null)) };
    };
    const all = (globalThis.formChecks = new Map());
    export const Compile = (form) => {
      const made = make(form);
      const text = JSON.stringify(form);
      const seen = told(made);
      const whole = JSON.stringify(told(make(JSON.parse(text)))) === JSON.stringify(seen);
      if (whole && !seen.patterns.includes(null) && !made.buildResult.UseUnevaluated()) all.set(text, seen);
      return made;
    };`,
  /** What stands for it in the program. */
  door: (checks) => `
    import { Compile as make } from '${compile}';
    import { Guard } from '${guard}';
    import { Hashing } from '${hashing}';
    import { Errors } from '${value}';
    const made = new Map([
      ${checks.map(([text, check]) => `[${JSON.stringify(text)}, ${maker(check)}]`).join(',\n')}
    ]);
    export const Compile = (form) => {
      const check = made.get(JSON.stringify(form))?.();
      return check ? { Check: check, Errors: (v) => (check(v) ? [] : Errors(form, v)) } : make(form);
    };`,
};
