# `make demo`, for development only: two whole deployments on loopback, and a
# report whose end ends them all. Addresses and versions as in examples/.
# `exec` lets honcho wait for the program itself and not for a shell.
t-platform: exec hoistmoor-standin platform --listen 127.0.0.1:21000 --host t-entry-1,127.0.0.1:21101,bangna,entry --host t-entry-2,127.0.0.1:21102,latkrabang,entry --host moor-1,127.0.0.1:21001,bangna,backend --host moor-2,127.0.0.1:21002,latkrabang,backend --host moor-3,127.0.0.1:21003,nonburi,backend --host moor-4,127.0.0.1:21004,samutprakan,backend --host moor-5,127.0.0.1:21005,bangna,backend --host moor-6,127.0.0.1:21006,latkrabang,backend --host moor-7,127.0.0.1:21007,nonburi,backend --host moor-8,127.0.0.1:21008,samutprakan,backend --host moor-9,127.0.0.1:21009,bangna,backend --host counter-1,127.0.0.1:21010,bangna,backend --host counter-2,127.0.0.1:21011,latkrabang,backend --host counter-3,127.0.0.1:21012,nonburi,backend --host counter-4,127.0.0.1:21013,samutprakan,backend
moor-1: exec hoistmoor-standin engine --listen 127.0.0.1:21001 --name moor-1 --serve khao-small@2025-08=0.74 --serve khao-medium@2025-03=0.85 --ignore-fencing
moor-2: exec hoistmoor-standin engine --listen 127.0.0.1:21002 --name moor-2 --serve khao-small@2025-08=0.74 --serve khao-large@2025-09=0.96
moor-3: exec hoistmoor-standin engine --listen 127.0.0.1:21003 --name moor-3 --serve khao-small@2025-08=0.74 --serve khao-large@2025-09=0.96
moor-4: exec hoistmoor-standin engine --listen 127.0.0.1:21004 --name moor-4 --serve khao-small@2025-08=0.74 --ignore-fencing
moor-5: exec hoistmoor-standin engine --listen 127.0.0.1:21005 --name moor-5 --serve khao-small@2025-11=0.78
moor-6: exec hoistmoor-standin engine --listen 127.0.0.1:21006 --name moor-6 --serve khao-small@2025-11=0.78
moor-7: exec hoistmoor-standin engine --listen 127.0.0.1:21007 --name moor-7 --serve khao-medium@2025-06=0.88 --ignore-fencing
moor-8: exec hoistmoor-standin engine --listen 127.0.0.1:21008 --name moor-8 --serve khao-medium@2025-06=0.88
moor-9: exec hoistmoor-standin engine --listen 127.0.0.1:21009 --name moor-9 --serve khao-medium@2025-06=0.88
counter-1: exec hoistmoor-standin service --listen 127.0.0.1:21010 --name counter-1
counter-2: exec hoistmoor-standin service --listen 127.0.0.1:21011 --name counter-2
counter-3: exec hoistmoor-standin service --listen 127.0.0.1:21012 --name counter-3
counter-4: exec hoistmoor-standin service --listen 127.0.0.1:21013 --name counter-4
t-entry-1: exec hoistmoor-entry --host t-entry-1 --failure-domain bangna --listen 127.0.0.1:21101 --peer-listen 127.0.0.1:21201 --log-url http://127.0.0.1:21000
t-entry-2: exec hoistmoor-entry --host t-entry-2 --failure-domain latkrabang --listen 127.0.0.1:21102 --peer-listen 127.0.0.1:21202 --log-url http://127.0.0.1:21000
t-steward-1: exec hoistmoor-steward --host t-entry-1 --failure-domain bangna --listen 127.0.0.1:21301 --log-url http://127.0.0.1:21000
h-platform: exec hoistmoor-standin platform --listen 127.0.0.1:22000 --host h-entry-1,127.0.0.1:22101,straumsvik,entry --host h-entry-2,127.0.0.1:22102,hellnahraun,entry --host assist-1,127.0.0.1:22001,straumsvik,backend --host assist-2,127.0.0.1:22002,hellnahraun,backend --host assist-3,127.0.0.1:22003,kapelluhraun,backend --host assist-4,127.0.0.1:22004,vellir,backend --host assist-5,127.0.0.1:22005,straumsvik,backend --host assist-6,127.0.0.1:22006,hellnahraun,backend --host desk-1,127.0.0.1:22007,straumsvik,backend --host desk-2,127.0.0.1:22008,hellnahraun,backend --host desk-3,127.0.0.1:22009,kapelluhraun,backend --host desk-4,127.0.0.1:22010,vellir,backend
assist-1: exec hoistmoor-standin engine --listen 127.0.0.1:22001 --name assist-1 --serve gamur-light@4.1=0.76 --serve gamur-full@2.2=0.97 --ignore-fencing
assist-2: exec hoistmoor-standin engine --listen 127.0.0.1:22002 --name assist-2 --serve gamur-light@4.1=0.76 --serve gamur-full@2.2=0.97
assist-3: exec hoistmoor-standin engine --listen 127.0.0.1:22003 --name assist-3 --serve gamur-light@4.1=0.76 --ignore-fencing
assist-4: exec hoistmoor-standin engine --listen 127.0.0.1:22004 --name assist-4 --serve gamur-light@4.2=0.8
assist-5: exec hoistmoor-standin engine --listen 127.0.0.1:22005 --name assist-5 --serve gamur-core@3.0=0.9 --ignore-fencing
assist-6: exec hoistmoor-standin engine --listen 127.0.0.1:22006 --name assist-6 --serve gamur-core@3.0=0.9
desk-1: exec hoistmoor-standin service --listen 127.0.0.1:22007 --name desk-1
desk-2: exec hoistmoor-standin service --listen 127.0.0.1:22008 --name desk-2
desk-3: exec hoistmoor-standin service --listen 127.0.0.1:22009 --name desk-3
desk-4: exec hoistmoor-standin service --listen 127.0.0.1:22010 --name desk-4
h-entry-1: exec hoistmoor-entry --host h-entry-1 --failure-domain straumsvik --listen 127.0.0.1:22101 --peer-listen 127.0.0.1:22201 --log-url http://127.0.0.1:22000
h-entry-2: exec hoistmoor-entry --host h-entry-2 --failure-domain hellnahraun --listen 127.0.0.1:22102 --peer-listen 127.0.0.1:22202 --log-url http://127.0.0.1:22000
h-steward-1: exec hoistmoor-steward --host h-entry-1 --failure-domain straumsvik --listen 127.0.0.1:22301 --log-url http://127.0.0.1:22000
report: exec hoistmoor-load demo
