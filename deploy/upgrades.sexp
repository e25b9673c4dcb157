; Switches staged upgrades on (docs/upgrading.md): start each controller with
;     target/eiderhitch --settings deploy/upgrades.sexp --config FILE
(eiderhitch
  (feature-levels yes))
