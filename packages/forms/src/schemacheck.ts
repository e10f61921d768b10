import { type Static, type TSchema } from 'typebox';
import { Compile } from 'typebox/compile';
import { Value } from 'typebox/value';
import { Err } from './err.js';
import type { Fault } from './fault.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';

type SchemaError = {
  instancePath: string;
  message: string;
  keyword: string;
  params?: { requiredProperties?: string[] };
};
type CompiledSchema = { Check(v: unknown): boolean; Errors(v: unknown): Iterable<SchemaError> };
const faultsOf = (error: SchemaError): Fault[] => {
  if (error.keyword === 'required')
    return (error.params?.requiredProperties ?? []).map((name) => ({
      path: `${error.instancePath}/${name}`,
      why: 'is missing',
    }));
  // An unknown key is reported at its own path as a value that the schema `false` refuses.
  return [{ path: error.instancePath, why: error.keyword === 'boolean' ? 'is not known' : error.message }];
};
const compiledSchemas = new WeakMap<object, CompiledSchema>();

/** Validates values against schemas. Each schema is compiled once. */
export const SchemaCheck = {
  matches(schema: TSchema, v: unknown): boolean {
    return SchemaCheck.compiled(schema).Check(v);
  },
  parse<S extends TSchema>(schema: S, v: unknown): Result<NoInfer<Static<S>>, Fault[]> {
    const compiled = SchemaCheck.compiled(schema);
    if (compiled.Check(v)) return Ok(v as NoInfer<Static<S>>);
    const faults = [...compiled.Errors(v)].filter((e) => e.keyword !== 'additionalProperties').flatMap(faultsOf);
    return Err(faults.length > 0 ? faults.slice(0, 50) : [{ path: '', why: 'does not fit' }]);
  },
  /** Like `parse`, but removes keys that the schema does not know. */
  parseLenient<S extends TSchema>(schema: S, v: unknown): Result<NoInfer<Static<S>>, Fault[]> {
    const parsed = SchemaCheck.parse(schema, v);
    return parsed.ok ? parsed : SchemaCheck.parse(schema, SchemaCheck.withoutUnknownKeys(schema, v));
  },
  /** The value without the keys that the schema does not know. */
  withoutUnknownKeys(schema: TSchema, v: unknown): unknown {
    return SchemaCheck.compiled(schema).Check(v) ? v : Value.Clean(schema, Value.Clone(v));
  },
  /** The compiled form of a schema, from the cache if it was used before. */
  compiled(schema: TSchema): CompiledSchema {
    const known = compiledSchemas.get(schema);
    if (known) return known;
    const compiled = Compile(schema) as unknown as CompiledSchema;
    compiledSchemas.set(schema, compiled);
    return compiled;
  },
};
