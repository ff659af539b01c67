/**
 * Slopes of the configuration: bytes, check and adoption by pools with a service each and by teams.
 * @packageDocumentation
 */
import { checkConfiguration, createConfigurationKeeper } from "../../configuration/index.js";
import { createLog } from "../../telemetry/index.js";
import type { Figure } from "../measure.js";
import { measureProcessorTime } from "./cost.js";
import { describeSeries, type Point } from "./fit.js";

const poolSizes = [6, 12, 23, 46] as const;
const teamSizes = [46, 92, 185, 370] as const;
const fixedPools = 6;
const fixedTeams = 46;
const repeats = 400;

/**
 * Measures the configuration at several sizes.
 * @returns the figures
 */
export async function measureConfigurationSlopes(): Promise<Figure[]> {
  const byPool = poolSizes.map((size) => ({ size, text: createConfiguration(size, fixedTeams) }));
  const byTeam = teamSizes.map((size) => ({ size, text: createConfiguration(fixedPools, size) }));
  return [...(await describeTexts("pool", byPool)), ...(await describeTexts("team", byTeam))];
}

interface SizedConfiguration {
  readonly size: number;
  readonly text: unknown;
}

async function describeTexts(per: string, configurations: readonly SizedConfiguration[]): Promise<Figure[]> {
  const bytes: Point[] = [];
  const check: Point[] = [];
  const adopt: Point[] = [];
  for (const { size, text: operatorConfiguration } of configurations) {
    bytes.push({ size, cost: JSON.stringify(operatorConfiguration).length });
    check.push({
      size,
      cost: await measureProcessorTime(repeats, () => void checkConfiguration(operatorConfiguration)),
    });
    adopt.push({ size, cost: await measureAdoption(operatorConfiguration) });
  }
  return [
    ...describeSeries({ name: `configuration by ${per}, text`, unit: "bytes", per }, bytes),
    ...describeSeries({ name: `configuration by ${per}, check`, unit: "µs", per }, check),
    ...describeSeries({ name: `configuration by ${per}, adoption`, unit: "µs", per }, adopt),
  ];
}

async function measureAdoption(operatorConfiguration: unknown): Promise<number> {
  const keeper = createConfigurationKeeper(createLog("silent"));
  const record = { changeId: "change", author: "measure", acceptedAt: 0, text: operatorConfiguration };
  return measureProcessorTime(repeats, (repeat) => {
    keeper.adopt({ ...record, revision: repeat + 1 });
  });
}

function createConfiguration(poolCount: number, teamCount: number): unknown {
  const pools = Array.from({ length: poolCount }, (_, index) => ({
    name: `pool-${index}`,
    minimumInstances: 6,
    spare: index === poolCount - 1,
  }));
  const services = pools
    .filter(({ spare }) => !spare)
    .map(({ name }, index) => ({
      name: `service-${index}`,
      pool: name,
      dependsOn: index === 0 ? [] : [`service-${index - 1}`],
      availability: { objective: 0.999, windowSeconds: 3_600 },
      deadlineMilliseconds: 5_000,
      operations: [
        { name: "quote", idempotent: true, expectedMilliseconds: 80 },
        { name: "release", idempotent: false, expectedMilliseconds: 100 },
      ],
    }));
  const teams = Array.from({ length: teamCount }, (_, index) => ({ name: `team-${index}`, quota: 0.3 }));
  return { version: 1, pools, services, teams };
}
