"""Case 1: a late second copy of a refusal is taken for the answer to the next request."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from deployment import (CannotRun, Client, Deployment, Endpoint, configuration, main, offer, rule,
                        trouble)

SEED = int(os.environ.get("SEED", "1"))
LENGTH_S = 80
HOSTNAME = "box-office.example"

# `garble`, `extra late`, as the site files have it: on 0.6 of the endpoints, 0.03 of the answers have
# a second copy, for 5 s. It comes again after a pause.
SHARE, ANSWERS, FOR_S, PAUSE_S = 0.6, 0.03, 5.0, 3.0

ENDPOINTS, WORK_S, PER_S = 6, 0.06, 280


class FaultyEndpoint(Endpoint):
    """Sends some answers twice; the copy comes late, where the next answer is expected."""

    garbles = False

    async def send(self, connection, attempt, data):
        connection.write(data)
        if self.garbles and self.random.random() < ANSWERS:
            connection.copy = attempt, data

    async def began(self, connection, attempt):
        copy = getattr(connection, "copy", None)
        if copy:
            connection.copy = None
            status = copy[1].split(b" ", 2)[1].decode()
            self.extras += 1
            self.record.write(f"{self.id} sends again its {status} to {copy[0]}, before that to {attempt}")
            connection.write(copy[1])

    extras = 0


async def disrupt(endpoints):
    draw = random.Random(SEED)
    while True:
        chosen = draw.sample(endpoints, int(len(endpoints) * SHARE))
        for endpoint in chosen:
            endpoint.garbles = True
        await asyncio.sleep(FOR_S)
        for endpoint in chosen:
            endpoint.garbles = False
        await asyncio.sleep(PAUSE_S)


async def case():
    deployment = Deployment(FOLDER, {"ktm-a": "bagmati", "ktm-b": "bagmati"})
    record = deployment.record
    try:
        zones = ["ktm-a", "ktm-b"]
        deployment.endpoints = [FaultyEndpoint(record, n, "bookings", zones[n % 2], WORK_S, SEED)
                                for n in range(ENDPOINTS)]
        deployment.add_host("ktm-a")
        deployment.add_host("ktm-b")
        rules = [rule("r-1", "unsafe", "/seats/", "bookings", 2500, 400)]
        await deployment.start(configuration(1, HOSTNAME, rules, ["bookings"]))
        if trouble():
            deployment.tasks.append(asyncio.ensure_future(disrupt(deployment.endpoints)))
        client = Client(deployment, HOSTNAME, "POST", "/seats/", 2500, SEED)
        await offer(client, PER_S, LENGTH_S, SEED)
        return judge(deployment, client)
    finally:
        await deployment.stop()


def judge(deployment, client):
    runs = {}
    for endpoint in deployment.endpoints:
        for _, attempt, _ in endpoint.runs:
            runs.setdefault(attempt, []).append(endpoint.id)
    statuses = {}
    for status, _, _ in client.answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    twice = [attempt for attempt, by in runs.items() if 1 < len(by)]
    refused = [attempt for attempt, (status, _, _) in client.answers.items()
               if status in (408, 421, 429, 503) and attempt in runs]
    for attempt in twice:
        deployment.record.write(f"TWICE: {attempt} was run by {', '.join(runs[attempt])}")
    for attempt in refused:
        status = client.answers[attempt][0]
        deployment.record.write(f"REFUSED: {attempt} was answered {status}, and run by {runs[attempt][0]}")
    extras = sum(endpoint.extras for endpoint in deployment.endpoints)
    refusals = sum(endpoint.refused for endpoint in deployment.endpoints)
    answers = sum(endpoint.answers for endpoint in deployment.endpoints)
    summary = (f"attempts {client.sent}, answers {statuses}, answers of endpoints {answers}, of these "
               f"refusals {refusals}, late copies {extras}, run twice {len(twice)}, refused and run {len(refused)}")
    deployment.record.write(summary)
    print(summary)
    if statuses.get(200, 0) < client.sent / 4:
        raise CannotRun("too few requests were served")
    return bool(twice or refused)


main(case)
