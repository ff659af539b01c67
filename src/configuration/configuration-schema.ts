/**
 * Schema of the operators' configuration.
 * @packageDocumentation
 */
import * as z from "zod";

const nameSchema = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, "expected a name of lower-case letters, digits and hyphens");

const operationSchema = z.strictObject({
  name: nameSchema,
  /** Whether the operation may run twice without further effect. */
  idempotent: z.boolean(),
  /** The operators' estimate of a run's duration; used with little weight until measured run times replace it. */
  expectedMilliseconds: z.int().min(1).default(100),
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  /** The pool whose instances run this service. */
  pool: nameSchema,
  dependsOn: z.array(nameSchema).default([]),
  availability: z.strictObject({
    /** Share of requests that must be answered before their deadline, such as 0.999. */
    objective: z.number().gt(0).lt(1),
    windowSeconds: z.int().min(60).default(3_600),
  }),
  /** Deadline of requests that do not specify one. */
  deadlineMilliseconds: z.int().min(10).max(600_000),
  operations: z.array(operationSchema).min(1),
});

const poolSchema = z.strictObject({
  name: nameSchema,
  /** The planner never leaves the pool with fewer instances than this. */
  minimumInstances: z.int().min(0),
  /** Whether the planner may move this pool's instances to other pools that need them. */
  spare: z.boolean().default(false),
  slotsPerInstance: z.int().min(1).default(8),
  connectionsPerInstance: z.int().min(1).default(64),
});

const teamSchema = z.strictObject({
  name: nameSchema,
  /** Share of a pool's slots that the team may hold while other teams' requests wait. */
  quota: z.number().gt(0).max(1),
});

/** Schema of the operators' configuration. It doesn't check references such as a service's pool. */
export const operatorConfigurationSchema = z.strictObject({
  $schema: z.string().optional(),
  version: z.literal(1),
  pools: z.array(poolSchema).min(1),
  services: z.array(serviceSchema).min(1),
  teams: z.array(teamSchema).default([]),
});

/** The operators' configuration. */
export type OperatorConfiguration = z.infer<typeof operatorConfigurationSchema>;
/** One service of the configuration. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>;
/** One operation of a service. */
export type OperationConfiguration = z.infer<typeof operationSchema>;
/** One pool of the configuration. */
export type PoolConfiguration = z.infer<typeof poolSchema>;
/** One team of the configuration. */
export type TeamConfiguration = z.infer<typeof teamSchema>;
