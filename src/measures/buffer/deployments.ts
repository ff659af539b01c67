/**
 * The two deployments of today, with the pools of both organisations.
 * @packageDocumentation
 */

/** A pool that serves one organisation. */
export interface PoolProfile {
  readonly name: string;
  /** Instances in the fixed split. */
  readonly fixedInstances: number;
  /** Usual load in the busy hours, in erlangs. */
  readonly peakLoad: number;
  readonly runSeconds: number;
  /** What the operators declare, far from the truth. */
  readonly declaredRunSeconds: number;
  readonly deadlineSeconds: number;
  readonly objective: number;
  /** Hour of the day in which the busy hours begin. */
  readonly busyFromHour: number;
}

/** A deployment. */
export interface Deployment {
  readonly name: string;
  readonly zones: number;
  readonly spareInstances: number;
  readonly pools: readonly PoolProfile[];
}

/** Slots of an instance. */
export const slotsPerInstance = 8;
/** Instances that a planned pool never falls below. */
export const minimumInstances = 2;

const peakErlangsPerInstance = 3;
const dayShiftHour = 6;
const nightShiftHour = 19;

function createPool(
  name: string,
  fixedInstances: number,
  busyFromHour: number,
  runSeconds: number,
  deadlineSeconds: number,
  objective: number,
): PoolProfile {
  return {
    name,
    fixedInstances,
    peakLoad: peakErlangsPerInstance * fixedInstances,
    runSeconds,
    declaredRunSeconds: runSeconds * 3,
    deadlineSeconds,
    objective,
    busyFromHour,
  };
}

/** The deployments. In each, two pools serve the sister organisation in its own hours. */
export const deployments: readonly Deployment[] = [
  {
    name: "Agency",
    zones: 3,
    spareInstances: 7,
    pools: [
      createPool("quotes", 8, dayShiftHour, 0.08, 5, 0.999),
      createPool("nesting", 7, dayShiftHour, 0.15, 8, 0.999),
      createPool("salt-runs", 7, nightShiftHour, 0.1, 5, 0.999),
      createPool("confirmations", 6, nightShiftHour, 0.05, 4, 0.9995),
    ],
  },
  {
    name: "Sarea",
    zones: 4,
    spareInstances: 8,
    pools: [
      createPool("salt-runs", 8, nightShiftHour, 0.1, 5, 0.999),
      createPool("confirmations", 8, nightShiftHour, 0.05, 4, 0.9995),
      createPool("quotes", 8, dayShiftHour, 0.08, 5, 0.999),
      createPool("nesting", 8, dayShiftHour, 0.15, 8, 0.999),
    ],
  },
];
